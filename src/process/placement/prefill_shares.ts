/**
 * How much of its time each replica spent on prefill lately.
 *
 * A replica reads prompts between the tokens of its running streams, so each
 * prompt makes all of them pause. Where prompts were read lately, more come:
 * replicas that hold their shared parts are chosen for them.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** About as long as a stream of a few hundred tokens lasts, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;

interface Prefill {
  /** Milliseconds of prefill, the older the less they count. */
  ms: number;
  countedAt: number;
}

/** Shares of time by replica, 0 to 1 and above where prompts queue. */
export class PrefillShares {
  readonly #clock: Clock;
  readonly #prefills = new Map<VmId, Prefill>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PrefillShares {
    return new PrefillShares(clock);
  }

  /** Takes in that a prompt was sent whose prefill takes `ms`. */
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

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#prefills.keys()) {
      if (!isListed(replica)) this.#prefills.delete(replica);
    }
  }
}
