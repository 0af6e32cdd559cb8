/**
 * Limiter for the requests per second that an upstream announces, as one sender
 * applies it.
 *
 * @module
 */
const MS_PER_SECOND = 1_000;
/** Time for which unused requests accumulate. */
const BURST_MS = 250;
/**
 * An upstream that accepts no requests still gets one now and then: only an
 * answer shows that it accepts some again.
 */
const MIN_PER_S = 0.1;
/**
 * Requests beyond the limit are made up for within this time. Otherwise a VM
 * that could not reach the others would wait for minutes once it can.
 */
const MAX_DEBT_MS = 10_000;
/** Rounding in sums of fractions must not turn a level of 0 into a debt. */
const ROUNDING = 1e-6;

/**
 * A token bucket that may drop below 0: requests of other senders are charged
 * as soon as they are reported.
 */
export class RequestRateLimiter {
  #requestsPerS = Infinity;
  #announcedAt = -Infinity;
  #level = 0;
  #updatedAt: number;

  constructor(now: number) {
    this.#updatedAt = now;
  }

  /**
   * Creates a limiter for an upstream that has announced no limit up to `now`.
   */
  static create(now: number): RequestRateLimiter {
    return new RequestRateLimiter(now);
  }

  /** Requests per second; undefined while the upstream announces no limit. */
  get limit(): number | undefined {
    return this.#requestsPerS === Infinity ? undefined : this.#requestsPerS;
  }

  /**
   * Applies the limit in an answer that came at `announcedAt`, infinite for
   * none. An answer older than the last one changes nothing.
   */
  noteLimit(requestsPerS: number, announcedAt: number): void {
    if (announcedAt < this.#announcedAt) return;
    this.#announcedAt = announcedAt;
    this.#requestsPerS = requestsPerS;
  }

  /**
   * Milliseconds until a sender that may use `share` of the limit can send;
   * infinite where it has no share.
   */
  computeWaitMs(now: number, share = 1): number {
    if (this.limit === undefined) return 0;
    const perS = Math.max(MIN_PER_S, this.#requestsPerS) * share;
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
    const minLevel = -MAX_DEBT_MS * perMs;
    this.#level = Math.min(BURST_MS * perMs, Math.max(minLevel, level));
  }
}
