/**
 * A virtual clock on which every timer takes some time.
 *
 * @module
 */
import type { CancelTimer } from "../../src/process/clock.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

/**
 * Smallest delay of a timer. Without it, a task that sleeps for the remainder
 * of a limit can be left with a remainder of 0, or below the rounding of the
 * clock, before its own sum exceeds the limit. It would then wake at the same
 * time forever and the run would never end.
 */
const MIN_TIMER_MS = 1e-6;

/** A virtual clock that advances with every timer. */
export class BenchClock extends VirtualClock {
  static override create(): BenchClock {
    return new BenchClock();
  }

  override startTimer(ms: number, callback: () => void): CancelTimer {
    return super.startTimer(Math.max(ms, MIN_TIMER_MS), callback);
  }
}
