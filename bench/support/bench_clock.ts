/**
 * Virtual time in which every timer takes time.
 *
 * @module
 */
import type { CancelTimer } from "../../src/process/clock.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

/**
 * Without it, a task that sleeps for the rest of a limit can find a rest below
 * the rounding of the time, or a rest of 0 before a limit that its own sum does
 * not show as passed. It would wake at the same time again and again, and a
 * run would never end.
 */
const LEAST_TIMER_MS = 1e-6;

/** A virtual clock on which no task can wait without getting older. */
export class BenchClock extends VirtualClock {
  static override create(): BenchClock {
    return new BenchClock();
  }

  override startTimer(ms: number, callback: () => void): CancelTimer {
    return super.startTimer(Math.max(ms, LEAST_TIMER_MS), callback);
  }
}
