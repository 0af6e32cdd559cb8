/**
 * Brings waiters and free slots together.
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
import { chooseVictim, type PreemptionWish } from "./preemption.ts";
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

/** The share of slots that long work cannot take. */
const SHORT_RESERVE = 0.125;
/**
 * The share of slots that may be in use by classes that went before a higher
 * tier. A wait bound too short for the class's slot times would otherwise let
 * a low tier take every slot.
 */
const PROMOTED_SHARE = 0.5;
/** Time until a preempted slot is back: one sync of its holder and a margin. */
const PREEMPT_RETURN_MS = 700;

/** What the granter works on. */
export interface GranterOptions {
  shard: ShardId;
  log: Log;
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  accounts: LeaseManager;
  factory: WaiterFactory;
  waits: WaitEstimator;
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

  /** Grants as long as a waiter and a free slot fit together. */
  grantAll(now: number): void {
    const { queue, replicas } = this.#options;
    const slots = replicas.slots;
    queue.addShare(now, slots);
    while (queue.size > 0 && replicas.hasOpening(now)) {
      let chosen: Replica | undefined;
      const next = queue.findNext(now, {
        isOpen: (rank) => this.#isTierOpen(rank),
        canPromote: () => this.#canPromote(slots),
        accepts: (entry) => {
          if (!this.#isLengthOpen(entry, slots)) return false;
          const wish = this.#buildWish(entry);
          chosen = chooseReplica(replicas.list(), { requirements: wish, now });
          return chosen !== undefined;
        },
      });
      if (next === undefined || chosen === undefined) return;
      next.entry.isPromoted = next.isPromoted;
      this.#grant(next.entry, chosen, now);
    }
  }

  /** Takes a slot back for the first waiter, where that pays. */
  preempt(now: number): void {
    const { queue, accounts, features: decisions, getPolicy } = this.#options;
    const policy = getPolicy();
    if (policy === undefined || !decisions.preemption) return;
    const first = queue.findFirstByTier(now);
    if (first === undefined || !this.#isTierOpen(first.rank)) return;
    const lowest = accounts.ledger.findLowestRank() ?? 0;
    if (lowest <= first.rank) return;
    const victim = chooseVictim(this.#buildPreemption(first, now), {
      policy,
      slots: this.#options.replicas.slots,
      leases: accounts.ledger.list(),
      computeRemainingMs: (lease) => accounts.computeRemainingMs(lease, now),
      isUseful: (lease) => this.#isUseful(lease, first, now),
    });
    if (victim === undefined) return;
    accounts.preempt(victim);
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
    const { queue, accounts, onGranted } = this.#options;
    const chargedCost = queue.takeGranted(waiter, now);
    const lease = accounts.grant(waiter, { replica, chargedCost, now });
    onGranted(waiter, lease);
  }

  #buildPreemption(first: Waiter, now: number): PreemptionWish {
    const { factory, replicas } = this.#options;
    return {
      rank: first.rank,
      startBy: first.startBy,
      now,
      expectedWaitMs: factory.meanSlotMs / Math.max(1, replicas.slots),
      returnMs: PREEMPT_RETURN_MS,
    };
  }

  /** Whether the lease's slot would serve the waiter. */
  #isUseful(lease: LeaseEntry, waiter: Waiter, now: number): boolean {
    const replica = this.#options.replicas.get(lease.upstream);
    return replica !== undefined && !replica.ejected && replica.canTake(now) &&
      canServe(replica, this.#buildWish(waiter));
  }

  #buildWish(waiter: Waiter): ReplicaRequirements {
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

  /** Whether the tier holds fewer slots than its cap. */
  #isTierOpen(rank: number): boolean {
    const { accounts, waits, features: decisions } = this.#options;
    if (!decisions.crowding) return true;
    return accounts.ledger.countAtRank(rank) < waits.getTierCap({ rank });
  }

  /** Whether fewer slots than their share went before a higher tier. */
  #canPromote(slots: number): boolean {
    const most = Math.max(1, Math.floor(PROMOTED_SHARE * slots));
    return this.#options.accounts.ledger.promotedCount < most;
  }

  /** Whether the request leaves the reserve that long work cannot take. */
  #isLengthOpen(waiter: Waiter, slots: number): boolean {
    const { accounts, features: decisions } = this.#options;
    if (!waiter.isLong || !decisions.crowding) return true;
    const reserve = Math.floor(SHORT_RESERVE * slots);
    return accounts.ledger.longCount < Math.max(1, slots - reserve);
  }
}
