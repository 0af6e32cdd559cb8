/**
 * Token bucket for requests and tokens, filled at the rate of a workspace's
 * limits.
 *
 * @module
 */
import type { Workspace } from "../../version/records.ts";

const MINUTE_MS = 60_000;

/**
 * Time for which an unused limit accumulates. A workspace may use this much of
 * its limit at once, so that any minute holds at most 1.25 times the limit.
 */
export const BURST_MS = 15_000;

/** Rounding in sums of fractions must not turn a level of 0 into a debt. */
const ROUNDING = 1e-6;

/** How fast a limit refills, per millisecond. */
export interface LimitRate {
  requests: number;
  tokens: number;
}

/** An amount of requests and tokens. */
export interface LimitAmount {
  requests: number;
  tokens: number;
}

/** Rate of a workspace's limits, times `share`. */
export function computeLimitRate(
  workspace: Workspace,
  share = 1,
): LimitRate {
  return {
    requests: workspace.limits.requestsPerMinute / MINUTE_MS * share,
    tokens: workspace.limits.tokensPerMinute / MINUTE_MS * share,
  };
}

/**
 * A token bucket for two kinds of amounts. It grants whenever neither level is
 * below 0, and may drop below 0 by one grant, so that a request larger than the
 * burst is served too and a new, empty bucket serves at once. The debt is
 * refilled before the next grant.
 */
export class LimitBucket {
  #requests: number;
  #tokens: number;
  #filledAt: number;

  constructor(at: number) {
    this.#requests = 0;
    this.#tokens = 0;
    this.#filledAt = at;
  }

  /** Creates a bucket that was empty at `at`. */
  static create(at: number): LimitBucket {
    return new LimitBucket(at);
  }

  /** Fills the bucket at `rate` up to `now`. */
  update(now: number, rate: LimitRate): void {
    const ms = Math.max(0, now - this.#filledAt);
    this.#filledAt = now;
    this.#requests = computeLevel(this.#requests, rate.requests, ms);
    this.#tokens = computeLevel(this.#tokens, rate.tokens, ms);
  }

  /**
   * Milliseconds until `amount` can be granted; infinite where the rate is 0.
   */
  computeWaitMs(amount: LimitAmount, rate: LimitRate): number {
    return Math.max(
      amount.requests > 0 ? computeWait(this.#requests, rate.requests) : 0,
      amount.tokens > 0 ? computeWait(this.#tokens, rate.tokens) : 0,
    );
  }

  take(amount: LimitAmount): void {
    this.#requests -= amount.requests;
    this.#tokens -= amount.tokens;
  }

  isFull(rate: LimitRate): boolean {
    return this.#requests >= rate.requests * BURST_MS - ROUNDING &&
      this.#tokens >= rate.tokens * BURST_MS - ROUNDING;
  }
}

function computeLevel(level: number, rate: number, ms: number): number {
  const burst = rate * BURST_MS;
  if (level >= burst) return burst;
  return Math.min(burst, level + rate * ms);
}

function computeWait(level: number, rate: number): number {
  if (rate <= 0) return Infinity;
  return level >= -ROUNDING ? 0 : Math.ceil(-level / rate);
}
