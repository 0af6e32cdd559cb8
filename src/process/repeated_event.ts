/**
 * Logs an event that may occur many times a second in one line with a count.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import type { Log, LogFields } from "./log.ts";

const INTERVAL_MS = 10_000;

/** One event: the first time is logged at once, then a line an interval. */
export class RepeatedEvent {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #event: string;
  #loggedAt = -Infinity;
  #unlogged = 0;

  constructor(event: string, options: { clock: Clock; log: Log }) {
    this.#event = event;
    this.#clock = options.clock;
    this.#log = options.log;
  }

  /** `event` is the name in the log. */
  static create(
    event: string,
    options: { clock: Clock; log: Log },
  ): RepeatedEvent {
    return new RepeatedEvent(event, options);
  }

  /** Records the event; `repeated` counts those that were not logged before. */
  note(fields: LogFields): void {
    const now = this.#clock.now();
    if (now - this.#loggedAt < INTERVAL_MS) {
      this.#unlogged += 1;
      return;
    }
    this.#log.warn(this.#event, { ...fields, repeated: this.#unlogged });
    this.#loggedAt = now;
    this.#unlogged = 0;
  }
}
