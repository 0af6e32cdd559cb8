/**
 * A log with a bounded number of lines per second.
 *
 * Under load, and above all when many requests are refused, a line for each
 * step of each request would take CPU time from the requests. Lines over the
 * limit are dropped and counted. Warnings and errors have a limit of their own.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { Log, type LogFields, type LogLevel } from "./log.ts";

const WINDOW_MS = 1_000;
/** Enough for about 60 requests per second, three times a VM's usual rate. */
const ROUTINE_LINES_PER_SECOND = 400;
/** Limit for the levels `warn` and `error`. */
const WARNING_LINES_PER_SECOND = 200;

/** Forwards events up to a number of lines per second. */
export class RateLimitedLog extends Log {
  readonly #log: Log;
  readonly #clock: Clock;
  #windowStart = -Infinity;
  #routine = 0;
  #warnings = 0;
  #droppedInWindow = 0;
  #totalDropped = 0;

  constructor(log: Log, clock: Clock) {
    super();
    this.#log = log;
    this.#clock = clock;
  }

  static create(log: Log, clock: Clock): RateLimitedLog {
    return new RateLimitedLog(log, clock);
  }

  /** Number of dropped lines since the start. */
  get droppedCount(): number {
    return this.#totalDropped;
  }

  write(level: LogLevel, event: string, fields: LogFields): void {
    this.#updateWindow();
    if (!this.#takeLine(level)) {
      this.#droppedInWindow += 1;
      this.#totalDropped += 1;
      return;
    }
    this.#log.write(level, event, fields);
  }

  #takeLine(level: LogLevel): boolean {
    const isWarning = level === "warn" || level === "error";
    if (!isWarning) return this.#routine++ < ROUTINE_LINES_PER_SECOND;
    return this.#warnings++ < WARNING_LINES_PER_SECOND;
  }

  #updateWindow(): void {
    const now = this.#clock.now();
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#windowStart = now;
    this.#routine = 0;
    this.#warnings = 0;
    if (this.#droppedInWindow === 0) return;
    this.#log.write("warn", "log_lines_left_out", {
      count: this.#droppedInWindow,
    });
    this.#droppedInWindow = 0;
  }
}
