/**
 * Creates and connects the components of a shard owner.
 *
 * @module
 */
import type { ShardId } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { ShardSummary } from "../peer_api.ts";
import { buildFeatures, type SchedulerFeatures } from "./scheduler_features.ts";
import { Granter } from "./granter.ts";
import { LeaseManager } from "./lease_manager.ts";
import { OutputLengths } from "./output_lengths.ts";
import { ReplicaSet } from "./replica_set.ts";
import { ServiceTimes } from "./service_times.ts";
import { ShardTickets } from "./shard_tickets.ts";
import type { Waiter } from "./waiter.ts";
import { WaiterFactory } from "./waiter_factory.ts";
import { WaitingQueue } from "./waiting_queue.ts";

/** Options of `createShardComponents`. */
export interface ShardComponentsOptions {
  environment: Environment;
  shard: ShardId;
  getSnapshot: () => Snapshot | undefined;
  /** The latest summaries of the pool's other shards. */
  listOtherShards?: () => ShardSummary[];
  features?: Partial<SchedulerFeatures> | undefined;
  /** Maximum queue length, not counting the first of each class. */
  queueBound?: number | undefined;
}

/** Components of one shard owner. */
export interface ShardComponents {
  replicas: ReplicaSet;
  queue: WaitingQueue<Waiter>;
  leaseManager: LeaseManager;
  tickets: ShardTickets;
  granter: Granter;
}

/**
 * Creates the components. `onWaiting` is called when a new call waits, so that
 * slots can be granted.
 */
export function createShardComponents(
  options: ShardComponentsOptions,
  onWaiting: (now: number) => void,
): ShardComponents {
  const { environment, shard, getSnapshot } = options;
  const { clock, log, random } = environment;
  const features = buildFeatures(options.features);
  const lengths = OutputLengths.create(features.learntLengths);
  const serviceTimes = ServiceTimes.create();
  const factory = WaiterFactory.create(getSnapshot, {
    lengths,
    serviceTimes,
  });
  const replicas = ReplicaSet.create(features);
  const queue = WaitingQueue.create<Waiter>(features);
  const leaseManager = LeaseManager.create({
    shard,
    random,
    replicas,
    factory,
    lengths,
    serviceTimes,
    features,
    onClosed: (entry, cost) => {
      queue.noteServed(entry, cost - entry.chargedCost);
      if (cost > 0) queue.noteFinished(entry, cost);
    },
  });
  const shared = { queue, replicas, leaseManager, factory, features };
  const tickets = ShardTickets.create({
    ...shared,
    clock,
    getSnapshot,
    listOtherShards: options.listOtherShards ?? (() => []),
    queueBound: options.queueBound,
    onWaiting,
  });
  const granter = Granter.create({
    ...shared,
    shard,
    log,
    waitEstimator: tickets.waits,
    getPolicy: () => getSnapshot()?.policy,
    onGranted: (waiter, lease) => tickets.grant(waiter, lease),
  });
  return { replicas, queue, leaseManager, tickets, granter };
}
