/**
 * Chooses the shard of a pool in which a request is queued.
 *
 * @module
 */
import type { ShardId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { ShardSummary } from "../peer_api.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";
import type { LeaseRequest } from "../services.ts";
import { chooseShardOfUpstream } from "./shards.ts";

/**
 * The second candidate is chosen only if its expected wait is below this
 * fraction of the first one's.
 */
const SWITCH_WAIT_RATIO = 0.5;

/** Input of `chooseShard`. */
export interface ShardChoiceInput {
  pool: UpstreamPool;
  /** The pool's upstreams that accept work. */
  upstreams: readonly ListedVm[];
  findSummary: (shard: ShardId) => ShardSummary | undefined;
}

/**
 * Chooses between two candidate shards by rendezvous hashing of the request's
 * first prompt prefix. Requests with the same prefix get the same candidates,
 * so that the replicas of those shards have it cached. The first candidate is
 * used unless the second is much less loaded. Returns undefined if the pool has
 * no upstream for the request.
 */
export function chooseShard(
  request: LeaseRequest,
  input: ShardChoiceInput,
): ShardId | undefined {
  const shards = new Set<ShardId>();
  for (const upstream of input.upstreams) {
    if (request.avoid.includes(upstream.id)) continue;
    shards.add(chooseShardOfUpstream(input.pool, upstream.id));
  }
  const key = request.prefixes[0] ?? request.requestId;
  const [first, second] = computeRendezvousOrder(key, [...shards]);
  if (first === undefined || second === undefined) return first;
  return isMuchFaster(input.findSummary(second), input.findSummary(first))
    ? second
    : first;
}

function isMuchFaster(
  second: ShardSummary | undefined,
  first: ShardSummary | undefined,
): boolean {
  if (second === undefined || first === undefined) return false;
  if (first.room > 0) return false;
  if (second.room > 0) return true;
  return second.expectedWaitMs < SWITCH_WAIT_RATIO * first.expectedWaitMs;
}
