/**
 * The upstreams of one shard.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import { canProbe, type EjectionChange, updateEjections } from "./ejection.ts";
import { Replica } from "./replica.ts";

/** The replicas that may get work, by the list and their own word. */
export class ReplicaSet {
  readonly #decisions: SchedulerFeatures;
  readonly #replicas = new Map<VmId, Replica>();
  #list: Replica[] = [];

  constructor(decisions: SchedulerFeatures) {
    this.#decisions = decisions;
  }

  static create(decisions: SchedulerFeatures): ReplicaSet {
    return new ReplicaSet(decisions);
  }

  get(upstream: VmId): Replica | undefined {
    return this.#replicas.get(upstream);
  }

  list(): readonly Replica[] {
    return this.#list;
  }

  /** Slots of the replicas in service. */
  get slots(): number {
    let slots = 0;
    for (const replica of this.#list) {
      if (isInService(replica)) slots += replica.limit.slots;
    }
    return slots;
  }

  /** Free slots of the replicas in service. */
  get freeSlots(): number {
    let room = 0;
    for (const replica of this.#list) {
      if (isInService(replica)) room += replica.freeSlots;
    }
    return room;
  }

  /** Whether any request at all could be granted now. */
  hasOpening(now: number): boolean {
    return this.#list.some((replica) =>
      !replica.leaving && replica.canTake(now) &&
      (replica.ejected ? canProbe(replica, now) : replica.freeSlots > 0)
    );
  }

  /** Takes over the list: a replica that is no longer in it gets no work. */
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
        adaptive: this.#decisions.adaptiveRoom,
        useReports: this.#decisions.loadReports,
        now,
      });
      replica.setInUse(options.countInUse(id), now);
      this.#replicas.set(id, replica);
    }
    this.#list = [...this.#replicas.values()];
  }

  /** Adapts limits, drops old reports, ejects and returns replicas. */
  update(now: number): EjectionChange[] {
    for (const replica of this.#list) replica.update(now);
    if (!this.#decisions.ejection) return [];
    return updateEjections(this.#list, now);
  }
}

function isInService(replica: Replica): boolean {
  return !replica.ejected && !replica.leaving;
}
