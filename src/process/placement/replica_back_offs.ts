/**
 * Replicas that turned this VM's requests away and want none for a time.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { Clock } from "../clock.ts";

/** Hears that a replica wants nothing from this VM for so long. */
export type OnBackOff = (replica: VmId, forMs: number) => void;

/** Until when each replica is left alone. */
export class ReplicaBackOffs {
  readonly #clock: Clock;
  readonly #onBackOff: OnBackOff;
  readonly #until = new Map<VmId, number>();

  constructor(clock: Clock, onBackOff: OnBackOff) {
    this.#clock = clock;
    this.#onBackOff = onBackOff;
  }

  static create(clock: Clock, onBackOff: OnBackOff): ReplicaBackOffs {
    return new ReplicaBackOffs(clock, onBackOff);
  }

  /** Takes in an answer of the replica to this VM; the longest time holds. */
  noteSignals(replica: VmId, { backOffMs }: UpstreamSignals): void {
    if (backOffMs <= this.getRemainingMs(replica)) return;
    const isNew = !this.isBackingOff(replica);
    this.#until.set(replica, this.#clock.now() + backOffMs);
    if (isNew) this.#onBackOff(replica, backOffMs);
  }

  isBackingOff(replica: VmId): boolean {
    return this.getRemainingMs(replica) > 0;
  }

  /** Milliseconds for which the replica is left alone; 0 where it is not. */
  getRemainingMs(replica: VmId): number {
    const until = this.#until.get(replica) ?? -Infinity;
    return Math.max(0, until - this.#clock.now());
  }

  /** Replicas that are left alone now. */
  list(): VmId[] {
    return [...this.#until.keys()].filter((replica) =>
      this.isBackingOff(replica)
    );
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#until.keys()) {
      if (!isListed(replica)) this.#until.delete(replica);
    }
  }
}
