/**
 * Finds out that this process did not run for a while.
 *
 * @module
 */
import type { CancelTimer, Clock } from "./clock.ts";

/** A gap that counts as a pause; below every lease and suspicion timeout. */
const PAUSE_GAP_MS = 1_000;

const TICK_MS = 250;

/**
 * Watches the monotonic clock.
 *
 * A process that was stopped and continued still holds what it believed before:
 * it would go on as the owner of shards that others have taken over, which
 * would show as replicas with twice their slots. A tick that comes late tells
 * of the gap, and `check` finds it even before the late tick ran.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #callbacks: ((gapMs: number) => void)[] = [];
  #lastTickAt: number;
  #cancel: CancelTimer | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastTickAt = clock.now();
  }

  static create(clock: Clock): PauseDetector {
    return new PauseDetector(clock);
  }

  /** Calls `callback` with the length of each pause, before anything else. */
  onPause(callback: (gapMs: number) => void): void {
    this.#callbacks.push(callback);
  }

  start(): void {
    this.#lastTickAt = this.#clock.now();
    this.#startTick();
  }

  stop(): void {
    this.#cancel?.();
    this.#cancel = undefined;
  }

  /** Whether a pause has just been found; the callbacks have run then. */
  check(): boolean {
    if (this.#cancel === undefined) return false;
    const now = this.#clock.now();
    const gapMs = now - this.#lastTickAt;
    if (gapMs < PAUSE_GAP_MS) return false;
    this.#lastTickAt = now;
    for (const callback of this.#callbacks) callback(gapMs);
    return true;
  }

  #startTick(): void {
    this.#cancel = this.#clock.startTimer(TICK_MS, () => {
      this.check();
      this.#lastTickAt = this.#clock.now();
      this.#startTick();
    });
  }
}
