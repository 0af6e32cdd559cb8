/**
 * Tells for how long an answer that is read now, or a signal that is handled
 * now, may have waited in this process.
 *
 * A process that gets no processor time reads its sockets late. Without this, an
 * answer of the store that came during a stall would make an old list look new by
 * the length of the stall, and a drain would end as much after its grace period.
 *
 * @module
 */
import {
  READ_GRACE_MS,
  STALL_THRESHOLD_MS,
} from "../../connection/silence_timer.ts";
import type { CancelTimer, Clock } from "../clock.ts";

const DEFAULT_CHECK_INTERVAL_MS = 200;

/** A time in which the process ran no timer. */
interface Stall {
  from: number;
  to: number;
}

/** Finds stalls of this process by a timer that comes late. */
export class ReadDelay {
  readonly #clock: Clock;
  readonly #intervalMs: number;
  #checkedAt: number;
  /** The check before that one. */
  #earlierCheckedAt: number;
  #lastStall: Stall | undefined;
  #cancel: CancelTimer = () => {};

  constructor(clock: Clock, intervalMs: number) {
    this.#clock = clock;
    this.#intervalMs = intervalMs;
    this.#checkedAt = clock.now();
    this.#earlierCheckedAt = this.#checkedAt;
  }

  /** Misses stalls that are not longer than `intervalMs` and 100 ms. */
  static create(
    clock: Clock,
    intervalMs = DEFAULT_CHECK_INTERVAL_MS,
  ): ReadDelay {
    return new ReadDelay(clock, intervalMs);
  }

  start(): void {
    this.stop();
    this.#checkedAt = this.#clock.now();
    this.#earlierCheckedAt = this.#checkedAt;
    this.#startTimer();
  }

  stop(): void {
    this.#cancel();
  }

  /**
   * `Clock.now()` before which all that had arrived has been handled: between
   * two checks the process reads all its sockets and signals.
   */
  getHandledUntil(): number {
    return this.#earlierCheckedAt;
  }

  /**
   * `Clock.now()` since when what is read now may have waited: now, but for the
   * moment after a stall.
   */
  computeArrivedSince(): number {
    const now = this.#clock.now();
    const stall = this.#lastStall;
    // What is read first after a stall may take longer than the grace.
    const isAfterStall = stall !== undefined &&
      (this.#checkedAt === stall.to || now - stall.to <= READ_GRACE_MS);
    if (isAfterStall) return stall.from;
    return this.#isLate(now) ? this.#checkedAt : now;
  }

  #startTimer(): void {
    this.#cancel = this.#clock.startTimer(this.#intervalMs, () => {
      const now = this.#clock.now();
      if (this.#isLate(now)) {
        this.#lastStall = { from: this.#checkedAt, to: now };
      }
      this.#earlierCheckedAt = this.#checkedAt;
      this.#checkedAt = now;
      this.#startTimer();
    });
  }

  #isLate(now: number): boolean {
    return now - this.#checkedAt >= this.#intervalMs + STALL_THRESHOLD_MS;
  }
}
