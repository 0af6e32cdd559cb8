/**
 * Which of a pool's shards a request waits in.
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

/** The second candidate must expect less than this part of the first's wait. */
const WORTH_LEAVING = 0.5;

/** What the choice rests on. */
export interface ShardChoiceInput {
  pool: UpstreamPool;
  /** The pool's upstreams that may get work. */
  upstreams: readonly ListedVm[];
  findSummary: (shard: ShardId) => ShardSummary | undefined;
}

/**
 * One of two candidates. Requests with the same prompt prefix have the same
 * candidates, so that their shard's replicas have it cached; of the two the
 * first is taken unless the other has far less to do. Undefined where the pool
 * has no upstream for the request.
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
  return isFarBetter(input.findSummary(second), input.findSummary(first))
    ? second
    : first;
}

function isFarBetter(
  second: ShardSummary | undefined,
  first: ShardSummary | undefined,
): boolean {
  if (second === undefined || first === undefined) return false;
  if (first.room > 0) return false;
  if (second.room > 0) return true;
  return second.expectedWaitMs < WORTH_LEAVING * first.expectedWaitMs;
}
