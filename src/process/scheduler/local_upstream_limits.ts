/**
 * What upstreams asked in answers to this VM, for use while owners do not
 * answer: rate limits, of which it has a part, and times to back off.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { RequestRate } from "../limits/index.ts";

interface Asked {
  rate: RequestRate;
  backOffUntil: number;
}

/** Room by upstream. */
export class LocalUpstreamLimits {
  readonly #clock: Clock;
  /** Of upstreams that asked for anything. */
  readonly #asked = new Map<VmId, Asked>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LocalUpstreamLimits {
    return new LocalUpstreamLimits(clock);
  }

  /** Takes in what an answer of `upstream` asks. */
  noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    const { requestsPerS, backOffMs } = signals;
    const now = this.#clock.now();
    const asked = this.#asked.get(upstream) ??
      { rate: RequestRate.create(now), backOffUntil: now };
    if (requestsPerS !== undefined) asked.rate.noteLimit(requestsPerS, now);
    asked.backOffUntil = Math.max(asked.backOffUntil, now + backOffMs);
    const isOpen = asked.rate.limit === undefined && asked.backOffUntil <= now;
    if (isOpen) this.#asked.delete(upstream);
    else this.#asked.set(upstream, asked);
  }

  /** Whether a VM with `share` of each limit may send a request there now. */
  canSend(upstream: VmId, share: number): boolean {
    const asked = this.#asked.get(upstream);
    if (asked === undefined) return true;
    const now = this.#clock.now();
    return asked.backOffUntil <= now &&
      asked.rate.computeWaitMs(now, share) === 0;
  }

  /** Counts a request of this VM's own share. */
  addSent(upstream: VmId): void {
    this.#asked.get(upstream)?.rate.take(1);
  }

  /** Forgets upstreams that are not listed any more. */
  dropUnlisted(isListed: (upstream: VmId) => boolean): void {
    for (const upstream of this.#asked.keys()) {
      if (!isListed(upstream)) this.#asked.delete(upstream);
    }
  }
}
