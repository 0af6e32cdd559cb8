/**
 * Tells for how long an answer that is read now may have lain in its socket.
 *
 * A process that gets no processor time reads its sockets late. Without this, an
 * answer of the store that came during a stall would make an old list look new by
 * the length of the stall.
 *
 * @module
 */
import {
  READ_GRACE_MS,
  STALL_THRESHOLD_MS,
} from "../../connection/silence_timer.ts";
import type { CancelTimer, Clock } from "../clock.ts";

const CHECK_INTERVAL_MS = 200;

/** A time in which the process ran no timer. */
interface Stall {
  from: number;
  to: number;
}

/** Finds stalls of this process by a timer that comes late. */
export class ReadDelay {
  readonly #clock: Clock;
  #checkedAt: number;
  #lastStall: Stall | undefined;
  #cancel: CancelTimer = () => {};

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#checkedAt = clock.now();
  }

  static create(clock: Clock): ReadDelay {
    return new ReadDelay(clock);
  }

  start(): void {
    this.stop();
    this.#checkedAt = this.#clock.now();
    this.#startTimer();
  }

  stop(): void {
    this.#cancel();
  }

  /**
   * `Clock.now()` since when what is read now may have waited: now, but for the
   * moment after a stall.
   */
  computeArrivedSince(): number {
    this.#noteCheck();
    const now = this.#clock.now();
    const stall = this.#lastStall;
    const isAfterStall = stall !== undefined &&
      now - stall.to <= READ_GRACE_MS;
    return isAfterStall ? stall.from : now;
  }

  #startTimer(): void {
    this.#cancel = this.#clock.startTimer(CHECK_INTERVAL_MS, () => {
      this.#noteCheck();
      this.#checkedAt = this.#clock.now();
      this.#startTimer();
    });
  }

  #noteCheck(): void {
    const now = this.#clock.now();
    const isLate = now - this.#checkedAt >=
      CHECK_INTERVAL_MS + STALL_THRESHOLD_MS;
    if (!isLate) return;
    this.#lastStall = { from: this.#checkedAt, to: now };
    this.#checkedAt = now;
  }
}
