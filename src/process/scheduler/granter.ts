/**
 * Grants free slots to waiting requests.
 *
 * @module
 */
import type { ShardId } from "../../ids.ts";
import type { Policy } from "../../version/records.ts";
import type { Log } from "../log.ts";
import type { SlotLease } from "../peer_api.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { LeaseEntry } from "./lease_ledger.ts";
import { chooseVictim, type PreemptionRequest } from "./preemption.ts";
import type { Replica } from "./replica.ts";
import {
  canServe,
  chooseReplica,
  type ReplicaRequirements,
} from "./replica_choice.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { WaitEstimator } from "./wait_estimator.ts";
import type { Waiter } from "./waiter.ts";
import type { WaiterFactory } from "./waiter_factory.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Share of the slots that long requests cannot use. */
const SHORT_REQUEST_RESERVE = 0.125;
/**
 * Maximum share of the slots held by requests granted ahead of a higher tier.
 * Without it, a low tier whose wait bound is short for its slot times could
 * take every slot.
 */
const MAX_PROMOTED_SHARE = 0.5;
/** Time until a preempted slot is free: one sync of its holder and a margin. */
const PREEMPTED_SLOT_RETURN_MS = 700;

/** Options of a `Granter`. */
export interface GranterOptions {
  shard: ShardId;
  log: Log;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  leaseManager: LeaseManager;
  factory: WaiterFactory;
  waitEstimator: WaitEstimator;
  features: SchedulerFeatures;
  getPolicy: () => Policy | undefined;
  onGranted: (waiter: Waiter, lease: SlotLease) => void;
}

/** Grants one shard's slots. */
export class Granter {
  readonly #options: GranterOptions;

  constructor(options: GranterOptions) {
    this.#options = options;
  }

  static create(options: GranterOptions): Granter {
    return new Granter(options);
  }

  /** Grants slots while a free slot suits a waiting request. */
  grantAll(now: number): void {
    const { queue, replicas } = this.#options;
    const slots = replicas.slots;
    queue.addCredit(now, slots);
    while (queue.size > 0 && replicas.hasCapacity(now)) {
      let chosen: Replica | undefined;
      const next = queue.findNext(now, {
        isTierOpen: (rank) => this.#isTierOpen(rank),
        canPromote: () => this.#canPromote(slots),
        accepts: (entry) => {
          if (!this.#canGrantLong(entry, slots)) return false;
          const requirements = this.#buildRequirements(entry);
          chosen = chooseReplica(replicas.list(), { requirements, now });
          return chosen !== undefined;
        },
      });
      if (next === undefined || chosen === undefined) return;
      next.entry.isPromoted = next.isPromoted;
      this.#grant(next.entry, chosen, now);
    }
  }

  /** Preempts a lease for the first waiter if that is worth its cost. */
  preempt(now: number): void {
    const { queue, leaseManager, features, getPolicy } = this.#options;
    const policy = getPolicy();
    if (policy === undefined || !features.preemption) return;
    const first = queue.findFirstByTier(now);
    if (first === undefined || !this.#isTierOpen(first.rank)) return;
    const lowest = leaseManager.ledger.findLowestRank() ?? 0;
    if (lowest <= first.rank) return;
    const victim = chooseVictim(this.#buildPreemptionRequest(first, now), {
      policy,
      slots: this.#options.replicas.slots,
      leases: leaseManager.ledger.list(),
      computeRemainingMs: (lease) =>
        leaseManager.computeRemainingMs(lease, now),
      isUseful: (lease) => this.#canUseSlot(lease, first, now),
    });
    if (victim === undefined) return;
    leaseManager.preempt(victim);
    this.#options.log.info("lease_preempted", {
      shard: this.#options.shard,
      lease: victim.lease,
      peer: victim.upstream,
      class: victim.className,
      for_request: first.call.requestId,
      for_class: first.className,
    });
  }

  #grant(waiter: Waiter, replica: Replica, now: number): void {
    const { queue, leaseManager, onGranted } = this.#options;
    const chargedCost = queue.takeGranted(waiter, now);
    const lease = leaseManager.grant(waiter, { replica, chargedCost, now });
    onGranted(waiter, lease);
  }

  #buildPreemptionRequest(first: Waiter, now: number): PreemptionRequest {
    const { factory, replicas } = this.#options;
    return {
      rank: first.rank,
      startBy: first.startBy,
      now,
      expectedWaitMs: factory.meanSlotMs / Math.max(1, replicas.slots),
      returnMs: PREEMPTED_SLOT_RETURN_MS,
    };
  }

  /** Whether the waiter could use the lease's slot. */
  #canUseSlot(lease: LeaseEntry, waiter: Waiter, now: number): boolean {
    const replica = this.#options.replicas.get(lease.upstream);
    return replica !== undefined && !replica.ejected &&
      replica.isAccepting(now) &&
      canServe(replica, this.#buildRequirements(waiter));
  }

  #buildRequirements(waiter: Waiter): ReplicaRequirements {
    const { call } = waiter;
    return {
      model: call.model,
      adapter: call.adapter,
      prefixes: call.prefixes,
      avoid: call.avoid,
      mayProbe: call.idempotent && !waiter.isLong,
      prefixAffinity: this.#options.features.prefixAffinity,
    };
  }

  /** Whether the tier is below its slot cap. */
  #isTierOpen(rank: number): boolean {
    const { leaseManager, waitEstimator, features } = this.#options;
    if (!features.crowding) return true;
    return leaseManager.ledger.countAtRank(rank) <
      waitEstimator.getTierCap({ rank });
  }

  /** Whether promoted requests hold less than their share of the slots. */
  #canPromote(slots: number): boolean {
    const most = Math.max(1, Math.floor(MAX_PROMOTED_SHARE * slots));
    return this.#options.leaseManager.ledger.promotedCount < most;
  }

  /** Whether granting the request leaves the reserve for short requests. */
  #canGrantLong(waiter: Waiter, slots: number): boolean {
    const { leaseManager, features } = this.#options;
    if (!waiter.isLong || !features.crowding) return true;
    const reserve = Math.floor(SHORT_REQUEST_RESERVE * slots);
    return leaseManager.ledger.longCount < Math.max(1, slots - reserve);
  }
}
