/**
 * Hands large reads to their parsers one piece at a time.
 *
 * What a read of 64 KB costs depends on what is in it: an answer in chunks of one
 * byte takes some ten milliseconds. Some hundred such connections at once would
 * leave a process no time for anything else.
 *
 * @module
 */
import process from "node:process";
import type { Clock } from "../process/clock.ts";

/** Pieces that cost less are followed by no pause. */
const MIN_PAUSE_MS = 1;
/** After so much time the event loop goes on before the next piece. */
const MAX_TURN_MS = 1;

/** A connection that holds bytes which its parser has not seen. */
export abstract class PacedReader {
  /** Gives the parser one piece. */
  abstract pushPiece(): void;
}

/** Lets connections take turns for at most half of the process's time. */
export class ReadPacer {
  readonly #clock: Clock;
  readonly #waiting = new Set<PacedReader>();
  #isRunning = false;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ReadPacer {
    return new ReadPacer(clock);
  }

  /** Lets a connection push one piece when it is its turn. */
  add(reader: PacedReader): void {
    this.#waiting.add(reader);
    if (this.#isRunning) return;
    this.#isRunning = true;
    setImmediate(() => this.#runTurn());
  }

  #runTurn(turnAt = this.#clock.now()): void {
    const [reader] = this.#waiting;
    if (reader === undefined) {
      this.#isRunning = false;
      return;
    }
    this.#waiting.delete(reader);
    const startedAt = this.#clock.now();
    reader.pushPiece();
    runAfterTicks(() => {
      const now = this.#clock.now();
      const ms = now - startedAt;
      if (ms >= MIN_PAUSE_MS) {
        this.#clock.startTimer(ms, () => this.#runTurn());
      } else if (now - turnAt >= MAX_TURN_MS) {
        setImmediate(() => this.#runTurn());
      } else {
        this.#runTurn(turnAt);
      }
    });
  }
}

/**
 * Runs `callback` when all ticks and microtasks that are due have run, with those
 * that they lead to, and before the event loop serves other connections.
 */
function runAfterTicks(callback: () => void): void {
  process.nextTick(() => queueMicrotask(() => process.nextTick(callback)));
}
