/**
 * Estimates the queueing time of requests in a shard from its current load.
 *
 * @module
 */
import type { Snapshot } from "../../version/records.ts";
import {
  computeExpectedWait,
  computeUsableSlots,
  type ShardLoad,
  type WaitQuery,
} from "./admission.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import type { LeaseLedger } from "./lease_ledger.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { Waiter } from "./waiter.ts";
import type { WaiterFactory } from "./waiter_factory.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

/** Options of a `WaitEstimator`. */
export interface WaitEstimatorOptions {
  queue: WaitingQueue<Waiter>;
  replicas: ReplicaSet;
  ledger: LeaseLedger;
  factory: WaiterFactory;
  features: SchedulerFeatures;
  getSnapshot: () => Snapshot | undefined;
}

/** Estimates waits in one shard, in milliseconds. */
export class WaitEstimator {
  readonly #options: WaitEstimatorOptions;

  constructor(options: WaitEstimatorOptions) {
    this.#options = options;
  }

  static create(options: WaitEstimatorOptions): WaitEstimator {
    return new WaitEstimator(options);
  }

  /**
   * Time after which a new request of the waiter's class is expected to meet
   * its targets.
   */
  computeRetryAfter(waiter: Waiter): number {
    const slack = waiter.startBy - waiter.arrivedAt;
    return Math.max(0, this.computeWait(waiter) - Math.max(0, slack));
  }

  /** Mean time between grants to the waiter's tier. */
  computeGrantInterval(waiter: Waiter): number {
    return waiter.slotMs / computeUsableSlots(this.#buildLoad(waiter.rank));
  }

  /** Expected wait of `waiter`. */
  computeWait(waiter: Waiter): number {
    return computeExpectedWait(
      buildWaitQuery(waiter),
      this.#buildLoad(waiter.rank),
    );
  }

  /** Expected wait of a new request of the lowest tier. */
  computeLowestWait(): number {
    const { queue, factory, replicas } = this.#options;
    if (replicas.freeSlots > 0 && queue.size === 0) return 0;
    let ahead = 0;
    for (const waiting of queue.listClasses()) ahead += waiting.slotMs;
    return Math.round(
      (ahead + factory.meanSlotMs) / Math.max(1, replicas.slots),
    );
  }

  /**
   * Builds the waiter's position in the queue: the number of requests ahead,
   * by class, and the expected wait.
   */
  buildQueuePosition(
    waiter: Waiter,
  ): { ahead: number; behind: string; expectedMs: number } {
    let ahead = 0;
    const groups: string[] = [];
    for (const queue of this.#options.queue.listClasses()) {
      if (queue.rank > waiter.rank) continue;
      const isOwn = queue.className === waiter.className;
      const count = queue.size - (isOwn ? 1 : 0);
      if (count <= 0) continue;
      ahead += count;
      groups.push(`${count} of class ${queue.className}`);
    }
    return {
      ahead,
      behind: groups.join(", "),
      expectedMs: Math.round(this.computeWait(waiter)),
    };
  }

  /** Maximum number of slots that the waiter's tier may use; at least one. */
  getTierCap(waiter: { rank: number }): number {
    const { replicas, features } = this.#options;
    const slots = replicas.slots;
    if (!features.crowding) return slots;
    return Math.max(1, Math.floor(this.#getSlotShare(waiter.rank) * slots));
  }

  #buildLoad(rank: number): ShardLoad {
    const { queue, replicas, ledger } = this.#options;
    return {
      slots: replicas.slots,
      freeSlots: replicas.freeSlots,
      usedByHigherTiers: ledger.countAboveRank(rank),
      tierCap: this.getTierCap({ rank }),
      usedByTier: ledger.countAtRank(rank),
      classes: queue.listClasses(),
    };
  }

  #getSlotShare(rank: number): number {
    const tiers = this.#options.getSnapshot()?.tiers.values() ?? [];
    for (const tier of tiers) if (tier.rank === rank) return tier.maxSlotShare;
    return 1;
  }
}

function buildWaitQuery(waiter: Waiter): WaitQuery {
  return {
    rank: waiter.rank,
    className: waiter.className,
    workspace: waiter.workspace,
    weight: waiter.weight,
    requestClass: waiter.requestClass,
    slotMs: waiter.slotMs,
  };
}
