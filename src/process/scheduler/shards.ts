/**
 * Assigns upstreams to the shards of their pool.
 *
 * Each upstream is assigned by rendezvous hashing, independently of the other
 * upstreams. An assignment that depends on the others would be more even, but
 * VMs with different views of the pool would then assign one upstream to two
 * shards, and two owners would grant its slots.
 *
 * @module
 */
import type { PoolName, ShardId, VmId } from "../../ids.ts";
import { toId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { pickRendezvousFirst } from "../rendezvous.ts";

/**
 * Bound on cached assignments per pool. Entries of replaced upstreams are never
 * removed one by one; the cache is cleared when it is full.
 */
const MAX_CACHED_UPSTREAMS = 20_000;
const SHARD_CACHE = new WeakMap<UpstreamPool, Map<VmId, ShardId>>();

/** Builds the id of shard `index` of `pool`, in the form `POOL/INDEX`. */
export function buildShardId(pool: PoolName, index: number): ShardId {
  return toId<ShardId>(`${pool}/${index}`);
}

/** Splits a shard id into pool and index; undefined if it is malformed. */
export function parseShardId(
  shard: ShardId,
): { pool: PoolName; index: number } | undefined {
  const slash = shard.lastIndexOf("/");
  const index = Number(shard.slice(slash + 1));
  if (slash < 1 || slash === shard.length - 1) return undefined;
  if (!Number.isInteger(index) || index < 0) return undefined;
  return { pool: toId<PoolName>(shard.slice(0, slash)), index };
}

/** The key that `MembershipView.findOwner` maps to the shard's owner. */
export function buildShardKey(shard: ShardId): string {
  return `shard:${shard}`;
}

/** Lists all shards of `pool`, including those without upstreams. */
export function listPoolShards(pool: UpstreamPool): ShardId[] {
  const shards: ShardId[] = [];
  for (let index = 0; index < pool.shards; index++) {
    shards.push(buildShardId(pool.name, index));
  }
  return shards;
}

/**
 * Returns the shard of `pool` that `upstream` is assigned to.
 *
 * Results are cached per pool record, which is immutable. Every VM looks up
 * every upstream for each request and in each periodic round, and a lookup
 * hashes all shards of the pool: without the cache the CPU time on every VM
 * would grow with upstreams times shards.
 */
export function chooseShardOfUpstream(
  pool: UpstreamPool,
  upstream: ListedVm["id"],
): ShardId {
  const cached = getCachedShards(pool);
  const known = cached.get(upstream);
  if (known !== undefined) return known;
  const shard =
    pickRendezvousFirst(`upstream:${upstream}`, listPoolShards(pool)) ??
      buildShardId(pool.name, 0);
  if (cached.size >= MAX_CACHED_UPSTREAMS) cached.clear();
  cached.set(upstream, shard);
  return shard;
}

function getCachedShards(pool: UpstreamPool): Map<VmId, ShardId> {
  let cached = SHARD_CACHE.get(pool);
  if (cached === undefined) {
    cached = new Map();
    SHARD_CACHE.set(pool, cached);
  }
  return cached;
}

/** Lists the upstreams in `vms` that are assigned to `shard` of `pool`. */
export function listShardUpstreams(
  shard: ShardId,
  options: { pool: UpstreamPool; vms: readonly ListedVm[] },
): ListedVm[] {
  return options.vms.filter((vm) =>
    vm.pool === options.pool.name &&
    chooseShardOfUpstream(options.pool, vm.id) === shard
  );
}

/**
 * Lists the shards of `pool` that at least one upstream in `vms` is assigned
 * to.
 */
export function listNonEmptyShards(
  pool: UpstreamPool,
  vms: readonly ListedVm[],
): ShardId[] {
  const shards = new Set<ShardId>();
  for (const vm of vms) {
    if (vm.pool === pool.name) shards.add(chooseShardOfUpstream(pool, vm.id));
  }
  return [...shards].sort();
}
