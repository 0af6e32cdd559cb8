/**
 * Which shard an upstream belongs to.
 *
 * Each upstream chooses its shard on its own, by rendezvous hashing over the
 * pool's shards. A split that depended on the other upstreams would be more
 * even, but two VMs with different views of the pool would then put one
 * upstream into two shards, and two owners would grant its slots.
 *
 * @module
 */
import type { PoolName, ShardId, VmId } from "../../ids.ts";
import { toId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import { pickRendezvousFirst } from "../rendezvous.ts";

/** Upstreams whose shard is kept for one pool; replaced ones add up. */
const MAX_CHOSEN = 20_000;
const CHOSEN = new WeakMap<UpstreamPool, Map<VmId, ShardId>>();

/** The shard `index` of `pool`, written `POOL/INDEX`. */
export function buildShardId(pool: PoolName, index: number): ShardId {
  return toId<ShardId>(`${pool}/${index}`);
}

/** The pool and index of `shard`; undefined where it is none. */
export function parseShardId(
  shard: ShardId,
): { pool: PoolName; index: number } | undefined {
  const slash = shard.lastIndexOf("/");
  const index = Number(shard.slice(slash + 1));
  if (slash < 1 || slash === shard.length - 1) return undefined;
  if (!Number.isInteger(index) || index < 0) return undefined;
  return { pool: toId<PoolName>(shard.slice(0, slash)), index };
}

/** The key under which `MembershipView.findOwner` finds the shard's owner. */
export function buildShardKey(shard: ShardId): string {
  return `shard:${shard}`;
}

/** Every shard of `pool`, those without upstreams too. */
export function listPoolShards(pool: UpstreamPool): ShardId[] {
  const shards: ShardId[] = [];
  for (let index = 0; index < pool.shards; index++) {
    shards.push(buildShardId(pool.name, index));
  }
  return shards;
}

/**
 * The shard of `pool` that `upstream` belongs to.
 *
 * Each VM asks this of every upstream for each request and in each round of
 * its duties, and each answer hashes every shard of the pool. Computed anew,
 * the processor time would grow with upstreams times shards on every VM, so
 * the answers are kept with the pool's record, which never changes.
 */
export function chooseShardOfUpstream(
  pool: UpstreamPool,
  upstream: ListedVm["id"],
): ShardId {
  const chosen = getChosen(pool);
  const known = chosen.get(upstream);
  if (known !== undefined) return known;
  const shard =
    pickRendezvousFirst(`upstream:${upstream}`, listPoolShards(pool)) ??
      buildShardId(pool.name, 0);
  if (chosen.size >= MAX_CHOSEN) chosen.clear();
  chosen.set(upstream, shard);
  return shard;
}

function getChosen(pool: UpstreamPool): Map<VmId, ShardId> {
  let chosen = CHOSEN.get(pool);
  if (chosen === undefined) {
    chosen = new Map();
    CHOSEN.set(pool, chosen);
  }
  return chosen;
}

/** The upstreams in `vms` that belong to `shard` of `pool`. */
export function listShardUpstreams(
  shard: ShardId,
  options: { pool: UpstreamPool; vms: readonly ListedVm[] },
): ListedVm[] {
  return options.vms.filter((vm) =>
    vm.pool === options.pool.name &&
    chooseShardOfUpstream(options.pool, vm.id) === shard
  );
}

/** The shards of `pool` that hold an upstream of `vms`. */
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
