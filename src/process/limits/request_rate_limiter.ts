/**
 * The limit on requests a second that an upstream names, as one sender keeps
 * it.
 *
 * @module
 */
const MS_PER_SECOND = 1_000;
/** What was not used piles up for so long, in milliseconds. */
const BURST_MS = 250;
/**
 * An upstream that takes no requests gets one now and then all the same: only
 * an answer tells that it takes some again.
 */
const LEAST_PER_S = 0.1;
/**
 * What was sent beyond the limit is made up for within so long, in
 * milliseconds. A VM that could not hear the others would else wait for
 * minutes once it does.
 */
const MOST_DEBT_MS = 10_000;
/** Rounding in sums of fractions must not turn a level of 0 into a debt. */
const ROUNDING = 1e-6;

/**
 * A token bucket that may go below 0: requests that others have sent count as
 * soon as they are heard of.
 */
export class RequestRateLimiter {
  #requestsPerS = Infinity;
  #namedAt = -Infinity;
  #level = 0;
  #updatedAt: number;

  constructor(now: number) {
    this.#updatedAt = now;
  }

  /** An upstream that has named no limit up to `now`. */
  static create(now: number): RequestRateLimiter {
    return new RequestRateLimiter(now);
  }

  /** Requests a second; undefined while the upstream names no limit. */
  get limit(): number | undefined {
    return this.#requestsPerS === Infinity ? undefined : this.#requestsPerS;
  }

  /**
   * Takes in the limit that an answer named at `namedAt`, infinite for none.
   * An older answer than the last one changes nothing.
   */
  noteLimit(requestsPerS: number, namedAt: number): void {
    if (namedAt < this.#namedAt) return;
    this.#namedAt = namedAt;
    this.#requestsPerS = requestsPerS;
  }

  /**
   * Milliseconds until a sender that may use `share` of the limit can send;
   * infinite where it has no share.
   */
  computeWaitMs(now: number, share = 1): number {
    if (this.limit === undefined) return 0;
    const perS = Math.max(LEAST_PER_S, this.#requestsPerS) * share;
    if (perS === 0) return Infinity;
    const perMs = perS / MS_PER_SECOND;
    this.#update(now, perMs);
    return this.#level >= -ROUNDING ? 0 : Math.ceil(-this.#level / perMs);
  }

  /** Counts requests that this sender or another one has sent. */
  take(count: number): void {
    if (this.limit !== undefined) this.#level -= count;
  }

  #update(now: number, perMs: number): void {
    const ms = Math.max(0, now - this.#updatedAt);
    this.#updatedAt = now;
    const level = this.#level + ms * perMs;
    const least = -MOST_DEBT_MS * perMs;
    this.#level = Math.min(BURST_MS * perMs, Math.max(least, level));
  }
}
