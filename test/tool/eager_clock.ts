/**
 * A clock whose timers fire at the next turn of the event loop.
 *
 * @module
 */
import { type CancelTimer, Clock } from "../../src/process/clock.ts";

/** Advances to the due time of each timer without waiting. */
export class EagerClock extends Clock {
  #now = 0;

  static create(): EagerClock {
    return new EagerClock();
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  startTimer(ms: number, callback: () => void): CancelTimer {
    const at = this.#now + ms;
    const immediate = setImmediate(() => {
      this.#now = Math.max(this.#now, at);
      callback();
    });
    return () => clearImmediate(immediate);
  }
}
