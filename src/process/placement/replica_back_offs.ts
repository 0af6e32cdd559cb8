/**
 * Replicas that rejected requests of this VM and asked it to back off.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";

/** Called when a replica asks this VM to back off for `forMs` milliseconds. */
export type OnBackOff = (replica: VmId, forMs: number) => void;

/** End of the back-off of each replica. */
export class ReplicaBackOffs {
  readonly #clock: Clock;
  readonly #onBackOff: OnBackOff;
  readonly #backOffUntil = new Map<VmId, number>();

  constructor(clock: Clock, onBackOff: OnBackOff) {
    this.#clock = clock;
    this.#onBackOff = onBackOff;
  }

  static create(clock: Clock, onBackOff: OnBackOff): ReplicaBackOffs {
    return new ReplicaBackOffs(clock, onBackOff);
  }

  /**
   * Applies an answer of the replica to this VM; the longest back-off counts.
   */
  noteSignals(replica: VmId, { backOffMs }: UpstreamSignals): void {
    if (backOffMs <= this.getRemainingMs(replica)) return;
    const isNew = !this.isBackingOff(replica);
    this.#backOffUntil.set(replica, this.#clock.now() + backOffMs);
    if (isNew) this.#onBackOff(replica, backOffMs);
  }

  isBackingOff(replica: VmId): boolean {
    return this.getRemainingMs(replica) > 0;
  }

  /** Milliseconds left of the replica's back-off; 0 where there is none. */
  getRemainingMs(replica: VmId): number {
    const until = this.#backOffUntil.get(replica) ?? -Infinity;
    return Math.max(0, until - this.#clock.now());
  }

  /** Replicas with a back-off now. */
  list(): VmId[] {
    return [...this.#backOffUntil.keys()].filter((replica) =>
      this.isBackingOff(replica)
    );
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#backOffUntil.keys()) {
      if (!isListed(replica)) this.#backOffUntil.delete(replica);
    }
  }
}
