/**
 * The shard owner's queue and decisions, and the entry VM's lease client.
 *
 * @module
 */
export type { SchedulerFeatures as SchedulerDecisions } from "./scheduler_features.ts";
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
  listNonEmptyShards as listShards,
  listPoolShards,
  listShardUpstreams,
} from "./shards.ts";
