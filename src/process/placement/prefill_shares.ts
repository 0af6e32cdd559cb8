/**
 * Share of its time that each replica recently spent on prefill.
 *
 * An engine prefills prompts between the decoding steps of its streams, so each
 * prompt makes all of them pause. Recent prefills predict more of them, since
 * prompts go to the replicas that hold their shared parts.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** About as long as a stream of a few hundred tokens lasts. */
const TIME_CONSTANT_MS = 2_000;

interface Prefill {
  /** Milliseconds of prefill, decaying with age. */
  ms: number;
  countedAt: number;
}

/** Shares of time by replica: 0 to 1, and above 1 where prompts queue. */
export class PrefillShares {
  readonly #clock: Clock;
  readonly #prefills = new Map<VmId, Prefill>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PrefillShares {
    return new PrefillShares(clock);
  }

  /** Counts a prompt whose prefill takes `ms` milliseconds. */
  addPrefill(replica: VmId, ms: number): void {
    const decayed = this.getShare(replica) * TIME_CONSTANT_MS;
    this.#prefills.set(replica, {
      ms: decayed + ms,
      countedAt: this.#clock.now(),
    });
  }

  getShare(replica: VmId): number {
    const prefill = this.#prefills.get(replica);
    if (prefill === undefined) return 0;
    const age = this.#clock.now() - prefill.countedAt;
    return prefill.ms * Math.exp(-age / TIME_CONSTANT_MS) / TIME_CONSTANT_MS;
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#prefills.keys()) {
      if (!isListed(replica)) this.#prefills.delete(replica);
    }
  }
}
