/**
 * This VM's part of the rate limits that upstreams name, for use while owners
 * do not answer.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";
import { RequestRate } from "../limits/index.ts";

/** Limits by upstream, by what answers to this VM named. */
export class LocalRates {
  readonly #clock: Clock;
  /** Of upstreams that name a limit. */
  readonly #rates = new Map<VmId, RequestRate>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LocalRates {
    return new LocalRates(clock);
  }

  /** Takes in what an answer of `upstream` asks. */
  noteSignals(upstream: VmId, { requestsPerS }: UpstreamSignals): void {
    if (requestsPerS === undefined) return;
    if (requestsPerS === Infinity) {
      this.#rates.delete(upstream);
      return;
    }
    const now = this.#clock.now();
    const rate = this.#rates.get(upstream) ?? RequestRate.create(now);
    this.#rates.set(upstream, rate);
    rate.noteLimit(requestsPerS, now);
  }

  /** Whether a VM with `share` of each limit may send a request there now. */
  hasRoom(upstream: VmId, share: number): boolean {
    const rate = this.#rates.get(upstream);
    return rate === undefined ||
      rate.computeWaitMs(this.#clock.now(), share) === 0;
  }

  /** Counts a request of this VM's own share. */
  addSent(upstream: VmId): void {
    this.#rates.get(upstream)?.take(1);
  }

  /** Forgets upstreams that are not listed any more. */
  dropUnlisted(isListed: (upstream: VmId) => boolean): void {
    for (const upstream of this.#rates.keys()) {
      if (!isListed(upstream)) this.#rates.delete(upstream);
    }
  }
}
