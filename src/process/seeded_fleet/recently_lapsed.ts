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

/** A store that was not heard for so long counts as having been away. */
const AWAY_MS = 1_000;
/** A replica that is well is back in the list so soon after its return. */
const BACK_WITHIN_MS = 2_200;

/** Keeps lapsed replicas for a short time after the store came back. */
export class RecentlyLapsed {
  readonly #clock: Clock;
  readonly #kept = new Map<VmId, ListedReplica>();
  #keepUntil = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RecentlyLapsed {
    return new RecentlyLapsed(clock);
  }

  /**
   * The list to go by, given the store's own, the one before it and how long
   * the store had not been heard.
   */
  apply(list: ReplicaList, before: ReplicaList, gapMs: number): ReplicaList {
    const now = this.#clock.now();
    if (gapMs > AWAY_MS && before.revision > 0) {
      this.#keepUntil = now + BACK_WITHIN_MS;
    }
    if (now >= this.#keepUntil) {
      this.#kept.clear();
      return list;
    }
    const listed = new Set(list.replicas.map((replica) => replica.id));
    for (const replica of before.replicas) {
      if (!listed.has(replica.id)) this.#kept.set(replica.id, replica);
    }
    for (const id of listed) this.#kept.delete(id);
    return { ...list, replicas: [...list.replicas, ...this.#kept.values()] };
  }
}
