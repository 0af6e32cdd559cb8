/**
 * A log with a bounded number of lines per second.
 *
 * Under load, and above all when many requests are refused, a line for each
 * step of each request would take CPU time from the requests. Lines over the
 * limit are dropped and counted. Warnings and errors have a limit of their own,
 * and so have lines on the state of the process: requests are judged by them.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Clock } from "./clock.ts";
import { Log, type LogFields, type LogLevel } from "./log.ts";

const WINDOW_MS = 1_000;
/** Enough for about 60 requests per second, three times a VM's usual rate. */
const REQUEST_LINES_PER_SECOND = 400;
/** A list of the largest fleet may change in this many replicas at once. */
const STATE_LINES_PER_SECOND = 400;
/** Limit for the levels `warn` and `error`. */
const WARNING_LINES_PER_SECOND = 200;

/** Lines that share a limit. */
type LineKind = "requests" | "state" | "warnings";

type LineCounts = Record<LineKind, number>;

const LIMITS: Readonly<LineCounts> = {
  requests: REQUEST_LINES_PER_SECOND,
  state: STATE_LINES_PER_SECOND,
  warnings: WARNING_LINES_PER_SECOND,
};

/** Forwards events up to a number of lines per second. */
export class RateLimitedLog extends Log {
  readonly #log: Log;
  readonly #clock: Clock;
  #windowStart = -Infinity;
  #written = createCounts();
  #dropped = createCounts();
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
    const kind = chooseKind(level, fields);
    this.#written[kind] += 1;
    if (this.#written[kind] > LIMITS[kind]) {
      this.#dropped[kind] += 1;
      this.#totalDropped += 1;
      return;
    }
    this.#log.write(level, event, fields);
  }

  #updateWindow(): void {
    const now = this.#clock.now();
    if (now - this.#windowStart < WINDOW_MS) return;
    this.#windowStart = now;
    this.#written = createCounts();
    const { requests, state, warnings } = this.#dropped;
    const count = requests + state + warnings;
    if (count === 0) return;
    this.#dropped = createCounts();
    const fields = { count, requests, state, warnings };
    this.#log.write("warn", "log_lines_left_out", fields);
  }
}

function chooseKind(level: LogLevel, fields: LogFields): LineKind {
  return match(level)
    .returnType<LineKind>()
    .with("warn", "error", () => "warnings")
    .with(
      "info",
      "debug",
      () => fields["request_id"] === undefined ? "state" : "requests",
    )
    .exhaustive();
}

function createCounts(): LineCounts {
  return { requests: 0, state: 0, warnings: 0 };
}
