/**
 * The shard owner's queue and decisions, and the entry VM's lease client.
 *
 * @module
 */
export {
  buildShardId,
  buildShardKey,
  chooseShardOfUpstream,
  listPoolShards,
  listShards,
  listShardUpstreams,
  parseShardId,
} from "./shards.ts";
