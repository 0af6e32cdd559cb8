/**
 * How much of a workspace's limit this VM used lately.
 *
 * @module
 */
import type { LimitAmount } from "./limit_bucket.ts";

/** The time over which older use fades. */
const FADE_MS = 2_000;

/** An exponentially fading average of use, for each millisecond. */
export class DemandMeter {
  #requests = 0;
  #tokens = 0;
  #at: number;

  constructor(now: number) {
    this.#at = now;
  }

  static create(now: number): DemandMeter {
    return new DemandMeter(now);
  }

  note(amount: LimitAmount, now: number): void {
    this.#update(now);
    this.#requests += amount.requests / FADE_MS;
    this.#tokens += amount.tokens / FADE_MS;
  }

  /** Use expected in the next `ms`. */
  compute(ms: number, now: number): LimitAmount {
    this.#update(now);
    return { requests: this.#requests * ms, tokens: this.#tokens * ms };
  }

  #update(now: number): void {
    const factor = Math.exp(-(now - this.#at) / FADE_MS);
    this.#at = now;
    this.#requests *= factor;
    this.#tokens *= factor;
  }
}
