/**
 * Rate limits and back-offs from upstreams' responses to this VM, applied while
 * shard owners are unreachable. Of each rate limit this VM uses only its share.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { RequestRateLimiter } from "../limits/index.ts";

interface UpstreamLimits {
  limiter: RequestRateLimiter;
  backOffUntil: number;
}

/** Limits and back-offs by upstream. */
export class LocalUpstreamLimits {
  readonly #clock: Clock;
  /** Only upstreams with a limit or back-off in force. */
  readonly #limits = new Map<VmId, UpstreamLimits>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LocalUpstreamLimits {
    return new LocalUpstreamLimits(clock);
  }

  /** Applies the rate limit and back-off of a response from `upstream`. */
  noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    const { requestsPerS, backOffMs } = signals;
    const now = this.#clock.now();
    const limits = this.#limits.get(upstream) ??
      { limiter: RequestRateLimiter.create(now), backOffUntil: now };
    if (requestsPerS !== undefined) limits.limiter.noteLimit(requestsPerS, now);
    limits.backOffUntil = Math.max(limits.backOffUntil, now + backOffMs);
    const isOpen = limits.limiter.limit === undefined &&
      limits.backOffUntil <= now;
    if (isOpen) this.#limits.delete(upstream);
    else this.#limits.set(upstream, limits);
  }

  /**
   * Whether this VM, with `share` of the rate limit, may send a request now.
   */
  canSend(upstream: VmId, share: number): boolean {
    const limits = this.#limits.get(upstream);
    if (limits === undefined) return true;
    const now = this.#clock.now();
    return limits.backOffUntil <= now &&
      limits.limiter.computeWaitMs(now, share) === 0;
  }

  /** Counts a request sent on a slot of the local share. */
  addSent(upstream: VmId): void {
    this.#limits.get(upstream)?.limiter.take(1);
  }

  /** Removes upstreams that are no longer listed. */
  dropUnlisted(isListed: (upstream: VmId) => boolean): void {
    for (const upstream of this.#limits.keys()) {
      if (!isListed(upstream)) this.#limits.delete(upstream);
    }
  }
}
