/**
 * The limits on requests a second that replicas name.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";

/** Limits that differ by less, as a share of the one before, are not told. */
const TOLD_CHANGE = 0.25;

/** Hears that a replica names a limit or none, in requests a second. */
export type OnRateLimit = (
  replica: VmId,
  requestsPerS: number | undefined,
) => void;

interface Record {
  requestsPerS: number;
  /** The limit that was told last. */
  toldPerS: number;
}

/** What replicas take, by their last word. */
export class ReplicaRateLimits {
  readonly #onChange: OnRateLimit;
  readonly #records = new Map<VmId, Record>();

  constructor(onChange: OnRateLimit) {
    this.#onChange = onChange;
  }

  static create(onChange: OnRateLimit): ReplicaRateLimits {
    return new ReplicaRateLimits(onChange);
  }

  /** Takes in an answer of the replica to this VM. */
  noteSignals(replica: VmId, { requestsPerS }: UpstreamSignals): void {
    if (requestsPerS === undefined) return;
    const known = this.#records.get(replica);
    if (requestsPerS === Infinity) {
      if (known === undefined) return;
      this.#records.delete(replica);
      this.#onChange(replica, undefined);
      return;
    }
    const toldPerS = known?.toldPerS ?? Infinity;
    const isTold = Math.abs(requestsPerS - toldPerS) < TOLD_CHANGE * toldPerS;
    this.#records.set(replica, {
      requestsPerS,
      toldPerS: isTold ? toldPerS : requestsPerS,
    });
    if (!isTold) this.#onChange(replica, requestsPerS);
  }

  /** Requests a second that the replica takes; undefined for any number. */
  getLimit(replica: VmId): number | undefined {
    return this.#records.get(replica)?.requestsPerS;
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#records.keys()) {
      if (!isListed(replica)) this.#records.delete(replica);
    }
  }
}
