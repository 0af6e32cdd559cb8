/**
 * The replicas of one shard.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import { canProbe, type EjectionChange, updateEjections } from "./ejection.ts";
import { Replica } from "./replica.ts";

/** The replicas on the membership list; `leaving` ones get no new work. */
export class ReplicaSet {
  readonly #features: SchedulerFeatures;
  readonly #replicas = new Map<VmId, Replica>();
  #list: Replica[] = [];

  constructor(features: SchedulerFeatures) {
    this.#features = features;
  }

  static create(features: SchedulerFeatures): ReplicaSet {
    return new ReplicaSet(features);
  }

  get(upstream: VmId): Replica | undefined {
    return this.#replicas.get(upstream);
  }

  list(): readonly Replica[] {
    return this.#list;
  }

  /** Number of slots of the replicas in service. */
  get slots(): number {
    let slots = 0;
    for (const replica of this.#list) {
      if (isInService(replica)) slots += replica.limit.slots;
    }
    return slots;
  }

  /** Number of free slots of the replicas in service. */
  get freeSlots(): number {
    let freeSlots = 0;
    for (const replica of this.#list) {
      if (isInService(replica)) freeSlots += replica.freeSlots;
    }
    return freeSlots;
  }

  /** Whether any replica could take a request now. */
  hasCapacity(now: number): boolean {
    return this.#list.some((replica) =>
      !replica.leaving && replica.isAccepting(now) &&
      (replica.ejected ? canProbe(replica, now) : replica.freeSlots > 0)
    );
  }

  /** Applies the list: replicas that are no longer on it are removed. */
  updateList(
    upstreams: readonly ListedVm[],
    options: {
      slots: UpstreamPool["slots"];
      countInUse: (upstream: VmId) => number;
      now: number;
    },
  ): void {
    const { slots, now } = options;
    const listed = new Set(upstreams.map((upstream) => upstream.id));
    for (const id of this.#replicas.keys()) {
      if (!listed.has(id)) this.#replicas.delete(id);
    }
    for (const id of listed) {
      const known = this.#replicas.get(id);
      if (known !== undefined) {
        known.limit.setBounds(slots);
        continue;
      }
      const replica = Replica.create(id, {
        slots,
        adaptive: this.#features.adaptiveRoom,
        useReports: this.#features.loadReports,
        now,
      });
      replica.setInUse(options.countInUse(id), now);
      this.#replicas.set(id, replica);
    }
    this.#list = [...this.#replicas.values()];
  }

  /** Adapts limits, drops old reports, ejects replicas and returns them. */
  update(now: number): EjectionChange[] {
    for (const replica of this.#list) replica.update(now);
    if (!this.#features.ejection) return [];
    return updateEjections(this.#list, now);
  }
}

function isInService(replica: Replica): boolean {
  return !replica.ejected && !replica.leaving;
}
