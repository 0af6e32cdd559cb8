/**
 * Detects that this process was paused.
 *
 * @module
 */
import type { CancelTimer, Clock } from "./clock.ts";

/**
 * Minimum gap that counts as a pause; shorter than every lease and suspicion
 * timeout.
 */
const MIN_PAUSE_MS = 1_000;

const CHECK_INTERVAL_MS = 250;

/**
 * Detects pauses by the monotonic clock.
 *
 * A process that was stopped and continued still has its old state: it would
 * act as the owner of shards that others have taken over, and replicas would
 * get twice as many requests as they have slots. A late timer reveals the gap,
 * and `check` detects it even before the late timer fires.
 */
export class PauseDetector {
  readonly #clock: Clock;
  readonly #callbacks: ((gapMs: number) => void)[] = [];
  #lastCheckAt: number;
  #cancel: CancelTimer | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#lastCheckAt = clock.now();
  }

  static create(clock: Clock): PauseDetector {
    return new PauseDetector(clock);
  }

  /** Calls `callback` with the length of each pause, before other code runs. */
  onPause(callback: (gapMs: number) => void): void {
    this.#callbacks.push(callback);
  }

  start(): void {
    this.#lastCheckAt = this.#clock.now();
    this.#startTimer();
  }

  stop(): void {
    this.#cancel?.();
    this.#cancel = undefined;
  }

  /** Whether a pause was just detected; the callbacks have run in that case. */
  check(): boolean {
    if (this.#cancel === undefined) return false;
    const now = this.#clock.now();
    const gapMs = now - this.#lastCheckAt;
    if (gapMs < MIN_PAUSE_MS) return false;
    this.#lastCheckAt = now;
    for (const callback of this.#callbacks) callback(gapMs);
    return true;
  }

  #startTimer(): void {
    this.#cancel = this.#clock.startTimer(CHECK_INTERVAL_MS, () => {
      this.check();
      this.#lastCheckAt = this.#clock.now();
      this.#startTimer();
    });
  }
}
