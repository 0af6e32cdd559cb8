/**
 * One timer that several reasons may bring forward, and none puts off.
 *
 * @module
 */
import type { CancelTimer, Clock } from "./clock.ts";

/** Fires once for the earliest time that it was set to. */
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

  /** `onDue` hears by how many milliseconds the timer fired late. */
  static create(
    clock: Clock,
    onDue: (lateMs: number) => void,
  ): EarliestTimer {
    return new EarliestTimer(clock, onDue);
  }

  /** Fires at `at` by `Clock.now()`, unless it does so earlier already. */
  setBy(at: number): void {
    if (this.#isStopped || at >= this.#dueAt) return;
    this.#cancel?.();
    this.#dueAt = at;
    this.#cancel = this.#clock.startTimer(
      Math.max(0, at - this.#clock.now()),
      () => this.#runDue(),
    );
  }

  /** Never fires again. */
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
