/**
 * A virtual clock of a process that gets no processor time now and then.
 *
 * @module
 */
import { type CancelTimer, Clock } from "../../src/process/clock.ts";
import type { VirtualClock } from "../../standin/virtual_clock.ts";

/** Timers that are due during the stall fire at its end, before all else. */
export class StallingClock extends Clock {
  readonly #clock: VirtualClock;
  readonly #stall: { from: number; to: number };

  constructor(clock: VirtualClock, stall: { from: number; to: number }) {
    super();
    this.#clock = clock;
    this.#stall = stall;
  }

  static create(
    clock: VirtualClock,
    stall: { from: number; to: number },
  ): StallingClock {
    return new StallingClock(clock, stall);
  }

  now(): number {
    return this.#clock.now();
  }

  wallTime(): number {
    return this.#clock.wallTime();
  }

  startTimer(ms: number, callback: () => void): CancelTimer {
    const now = this.#clock.now();
    const { from, to } = this.#stall;
    const dueAt = now + ms;
    const isStalled = dueAt > from && dueAt < to;
    return this.#clock.startTimer(isStalled ? to - now : ms, callback);
  }
}
