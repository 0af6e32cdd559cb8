/**
 * Hands large reads to their parsers one piece at a time.
 *
 * What a read of 64 KB costs depends on what is in it: an answer in chunks of one
 * byte takes some ten milliseconds. Some hundred such connections at once would
 * leave a process no time for anything else.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";

/** Shorter pauses are left to the event loop. */
const MIN_PAUSE_MS = 1;

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

  #runTurn(): void {
    const [reader] = this.#waiting;
    if (reader === undefined) {
      this.#isRunning = false;
      return;
    }
    this.#waiting.delete(reader);
    const startedAt = this.#clock.now();
    reader.pushPiece();
    // By then what follows from the piece at once has been done too.
    setImmediate(() => this.#waitAfter(this.#clock.now() - startedAt));
  }

  #waitAfter(ms: number): void {
    if (ms < MIN_PAUSE_MS) this.#runTurn();
    else this.#clock.startTimer(ms, () => this.#runTurn());
  }
}
