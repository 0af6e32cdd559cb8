/**
 * A log whose volume is bounded.
 *
 * Under load, lines for each step of each request would take processor time
 * from the requests themselves, most of all when much is refused. Beyond the
 * bound lines are counted and left out, the routine ones first.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { Log, type LogFields, type LogLevel } from "./log.ts";

const WINDOW_MS = 1_000;
/**
 * Lines a second of routine events: about what 60 requests a second write,
 * three times a VM's usual rate.
 */
const ROUTINE_LINES = 400;
/** Lines a second of warnings, errors, refusals and failures. */
const NOTABLE_LINES = 200;

/** Passes events on, up to a number of lines a second. */
export class RateLimitedLog extends Log {
  readonly #log: Log;
  readonly #clock: Clock;
  #windowStart = -Infinity;
  #routine = 0;
  #notable = 0;
  #leftOut = 0;
  #leftOutInAll = 0;

  constructor(log: Log, clock: Clock) {
    super();
    this.#log = log;
    this.#clock = clock;
  }

  static create(log: Log, clock: Clock): RateLimitedLog {
    return new RateLimitedLog(log, clock);
  }

  /** Lines left out since the start. */
  get leftOut(): number {
    return this.#leftOutInAll;
  }

  write(level: LogLevel, event: string, fields: LogFields): void {
    this.#updateWindow();
    if (!this.#takeLine(level)) {
      this.#leftOut += 1;
      this.#leftOutInAll += 1;
      return;
    }
    this.#log.write(level, event, fields);
  }

  #takeLine(level: LogLevel): boolean {
    const isNotable = level === "warn" || level === "error";
    if (!isNotable) return this.#routine++ < ROUTINE_LINES;
    return this.#notable++ < NOTABLE_LINES;
  }

  #updateWindow(): void {
    const now = this.#clock.now();
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#windowStart = now;
    this.#routine = 0;
    this.#notable = 0;
    if (this.#leftOut === 0) return;
    this.#log.write("warn", "log_lines_left_out", { count: this.#leftOut });
    this.#leftOut = 0;
  }
}
