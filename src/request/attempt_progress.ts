/**
 * Measures the progress of one attempt, for its lease.
 *
 * @module
 */
import type { Clock } from "../process/clock.ts";
import type { LeaseProgress } from "../process/services.ts";

/** Counts the tokens of one attempt and their times. */
export class AttemptProgress {
  readonly #clock: Clock;
  /** `Clock.now()` at which the attempt was sent. */
  readonly sentAt: number;
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
    this.sentAt = clock.now();
  }

  /**
   * Starts the measurement; the current time counts as the time of sending.
   * `onProgress` is called on each change.
   */
  static create(
    clock: Clock,
    onProgress: (progress: LeaseProgress) => void,
  ): AttemptProgress {
    return new AttemptProgress(clock, onProgress);
  }

  /** `Clock.now()` at the first output, or at the send where that is unknown. */
  get beganAt(): number {
    return this.#firstAt ?? this.sentAt;
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

  /** Counts the tokens of a buffered answer, which have no token times. */
  noteBufferedAnswer(count: number): void {
    this.#tokens += count;
  }

  getProgress(): LeaseProgress {
    const first = this.#firstAt;
    return {
      tokens: this.#tokens,
      firstTokenMs: first === undefined ? undefined : first - this.sentAt,
      betweenTokensMs: first === undefined || this.#tokens < 2
        ? undefined
        : (this.#lastAt! - first) / (this.#tokens - 1),
    };
  }
}
