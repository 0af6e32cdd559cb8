/**
 * Scheduling of requests: shard owners that queue requests and grant slots, and
 * the lease client of entry VMs.
 *
 * @module
 */
export { FairQueue } from "./fair_queue.ts";
export type { FairQueueEntry } from "./waiter.ts";
export type { SchedulerFeatures } from "./scheduler_features.ts";
export { LeaseClient } from "./lease_client.ts";
export type { LeaseClientOptions } from "./lease_client.ts";
export { ShardOwner } from "./shard_owner.ts";
export type { ShardOwnerOptions } from "./shard_owner.ts";
export { ShardOwners } from "./shard_owners.ts";
export type { ShardOwnersOptions } from "./shard_owners.ts";
export {
  buildShardId,
  buildShardKey,
  chooseShardOfUpstream,
  listNonEmptyShards,
  listPoolShards,
  listShardUpstreams,
} from "./shards.ts";
