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
  #tokens = 0;
  #firstAt: number | undefined;
  #lastAt: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#sentAt = clock.now();
  }

  /** Begins to count; `clock.now()` is the time of sending. */
  static create(clock: Clock): TryProgress {
    return new TryProgress(clock);
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
