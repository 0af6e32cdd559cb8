/**
 * How much of a workspace's limit this VM used recently.
 *
 * @module
 */
import type { LimitAmount } from "./limit_bucket.ts";

/** Time constant with which older use decays. */
const DECAY_MS = 2_000;

/** Exponentially decaying average of use per millisecond. */
export class DemandMeter {
  #requests = 0;
  #tokens = 0;
  #updatedAt: number;

  constructor(now: number) {
    this.#updatedAt = now;
  }

  static create(now: number): DemandMeter {
    return new DemandMeter(now);
  }

  note(amount: LimitAmount, now: number): void {
    this.#update(now);
    this.#requests += amount.requests / DECAY_MS;
    this.#tokens += amount.tokens / DECAY_MS;
  }

  /** Use expected in the next `ms` milliseconds. */
  compute(ms: number, now: number): LimitAmount {
    this.#update(now);
    return { requests: this.#requests * ms, tokens: this.#tokens * ms };
  }

  #update(now: number): void {
    const factor = Math.exp(-(now - this.#updatedAt) / DECAY_MS);
    this.#updatedAt = now;
    this.#requests *= factor;
    this.#tokens *= factor;
  }
}
