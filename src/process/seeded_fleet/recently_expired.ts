/**
 * Replicas whose entries lapsed while nobody could renew them.
 *
 * While the store is away, entries of replicas that are well run out. Taken at
 * its word, the first list after its return would leave a pool without
 * replicas, and every request would be refused though all of them serve.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { ListedReplica, ReplicaList } from "../placement/replica_list.ts";

/** A store that did not answer for so long counts as having been away. */
const AWAY_MS = 1_000;
/** A replica that is well is back in the list so soon after its return. */
const BACK_WITHIN_MS = 2_200;
/**
 * A list with lapsed replicas in it stands half a step before the store's own,
 * so that the store's is taken as newer once the time is over.
 */
const HALF_STEP = 0.5;

/** Keeps lapsed replicas for a short time after the store came back. */
export class RecentlyExpired {
  readonly #clock: Clock;
  readonly #kept = new Map<VmId, ListedReplica>();
  #keepUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RecentlyExpired {
    return new RecentlyExpired(clock);
  }

  /** Whether replicas are kept that the store's list has not. */
  get isKeeping(): boolean {
    return this.#kept.size > 0;
  }

  /** The store answers again after it had been silent for `awayMs`. */
  noteReturn(awayMs: number): void {
    if (awayMs < AWAY_MS) return;
    this.#keepUntil = this.#clock.now() + BACK_WITHIN_MS;
  }

  /** The list to go by, given the store's own and the one before it. */
  apply(list: ReplicaList, before: ReplicaList): ReplicaList {
    if (this.#clock.now() >= this.#keepUntil) {
      this.#kept.clear();
      return list;
    }
    const listed = new Set(list.replicas.map((replica) => replica.id));
    for (const replica of before.replicas) {
      if (!listed.has(replica.id)) this.#kept.set(replica.id, replica);
    }
    for (const id of listed) this.#kept.delete(id);
    if (!this.isKeeping) return list;
    return {
      ...list,
      revision: list.revision - HALF_STEP,
      replicas: [...list.replicas, ...this.#kept.values()],
    };
  }
}
