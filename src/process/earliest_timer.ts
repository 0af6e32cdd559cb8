/**
 * A timer that can be moved to an earlier time, but not to a later one.
 *
 * @module
 */
import type { CancelTimer, Clock } from "./clock.ts";

/** Fires once, at the earliest of the times that it was set to. */
export class EarliestTimer {
  readonly #clock: Clock;
  readonly #onDue: (lateMs: number) => void;
  #cancel: CancelTimer | undefined;
  #dueAt = Infinity;
  #isStopped = false;

  constructor(clock: Clock, onDue: (lateMs: number) => void) {
    this.#clock = clock;
    this.#onDue = onDue;
  }

  /** `onDue` receives the delay of the timer in milliseconds. */
  static create(
    clock: Clock,
    onDue: (lateMs: number) => void,
  ): EarliestTimer {
    return new EarliestTimer(clock, onDue);
  }

  /** Sets the timer to `at` (`Clock.now()`) unless it is due earlier. */
  setBy(at: number): void {
    if (this.#isStopped || at >= this.#dueAt) return;
    this.#cancel?.();
    this.#dueAt = at;
    this.#cancel = this.#clock.startTimer(
      Math.max(0, at - this.#clock.now()),
      () => this.#runDue(),
    );
  }

  /** Stops the timer for good. */
  stop(): void {
    this.#isStopped = true;
    this.#cancel?.();
  }

  #runDue(): void {
    const lateMs = this.#clock.now() - this.#dueAt;
    this.#dueAt = Infinity;
    this.#onDue(lateMs);
  }
}
