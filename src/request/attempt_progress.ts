/**
 * How far one try has come, for its lease.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";
import type { LeaseProgress } from "../process/services.ts";

/** Counts the tokens of one try on one upstream. */
export class TryProgress {
  readonly #clock: Clock;
  readonly #sentAt: number;
  readonly #onProgress: (progress: LeaseProgress) => void;
  #tokens = 0;
  #firstAt: number | undefined;
  #lastAt: number | undefined;

  constructor(
    clock: Clock,
    onProgress: (progress: LeaseProgress) => void,
  ) {
    this.#clock = clock;
    this.#onProgress = onProgress;
    this.#sentAt = clock.now();
  }

  /**
   * Begins to count; `clock.now()` is the time of sending. `onProgress` hears
   * of each change.
   */
  static create(
    clock: Clock,
    onProgress: (progress: LeaseProgress) => void,
  ): TryProgress {
    return new TryProgress(clock, onProgress);
  }

  get tokens(): number {
    return this.#tokens;
  }

  noteTokens(count: number): void {
    if (count === 0) return;
    const now = this.#clock.now();
    this.#firstAt ??= now;
    this.#lastAt = now;
    this.#tokens += count;
    this.#onProgress(this.getProgress());
  }

  /** Tokens of an answer that came in one piece: they tell no pace. */
  noteWhole(count: number): void {
    this.#tokens += count;
  }

  getProgress(): LeaseProgress {
    const first = this.#firstAt;
    return {
      tokens: this.#tokens,
      firstTokenMs: first === undefined ? undefined : first - this.#sentAt,
      betweenTokensMs: first === undefined || this.#tokens < 2
        ? undefined
        : (this.#lastAt! - first) / (this.#tokens - 1),
    };
  }
}
