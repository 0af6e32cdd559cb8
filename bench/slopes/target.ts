/**
 * The target size of the system, and the load of one VM at that size.
 *
 * @module
 */
import { pickRendezvousFirst } from "../../src/process/rendezvous.ts";
import {
  buildShardKey,
  chooseShardOfUpstream,
  listPoolShards,
} from "../../src/process/scheduler/index.ts";
import { buildLargeList, buildLargeSnapshot } from "./large_records.ts";

const SECONDS_PER_DAY = 86_400;
const RENEW_EVERY_S = 1.5;
/** Syncs in addition to renewals: announcement, first token and return. */
const OTHER_SYNCS = 3;
/** Lists published per replaced VM: leaving, removed and added again. */
const LISTS_PER_REPLACEMENT = 3;

/** Target size, set by the operators. */
export const TARGET = {
  vms: 380,
  replicas: 2_500,
  requestsPerSecond: 2_300,
  tokensPerSecond: 1_100_000,
  betweenTokensS: 0.037,
  workspaces: 3_400,
  models: 6,
  dataCentres: 13,
  changesPerDay: 11_000,
  replacementsPerDay: 203,
} as const;

/**
 * Limits of the control plane's cost per VM: rates per second, and memory.
 * `serviceCalls` is the rate of the whole fleet.
 */
export const LIMITS = {
  processorMs: 24,
  bytes: 21_000,
  memoryMib: 256,
  serviceCalls: 2_000,
} as const;

/** Load of one VM, on average and at most. */
export interface Share {
  requests: number;
  tokens: number;
  /** Open streams, if each is as slow as its target allows. */
  streams: number;
  /** Sync calls per request that announce, renew and return its lease. */
  syncs: number;
  shards: number;
  replicas: number;
  /** Maximum number of shards and of replicas owned by one VM. */
  mostShards: number;
  mostReplicas: number;
  changesPerSecond: number;
  listsPerSecond: number;
}

/** Distributes the target over the VMs, with owners as the VMs choose them. */
export function computeShare(): Share {
  const requests = TARGET.requestsPerSecond / TARGET.vms;
  const tokens = TARGET.tokensPerSecond / TARGET.vms;
  const seconds = tokens / requests * TARGET.betweenTokensS;
  const owned = countOwned();
  return {
    requests,
    tokens,
    streams: requests * seconds,
    syncs: OTHER_SYNCS + Math.floor(seconds / RENEW_EVERY_S),
    shards: owned.shards,
    replicas: TARGET.replicas / TARGET.vms,
    mostShards: owned.mostShards,
    mostReplicas: owned.mostReplicas,
    changesPerSecond: TARGET.changesPerDay / SECONDS_PER_DAY,
    listsPerSecond: TARGET.replacementsPerDay * LISTS_PER_REPLACEMENT /
      SECONDS_PER_DAY,
  };
}

function countOwned(): {
  shards: number;
  mostShards: number;
  mostReplicas: number;
} {
  const list = buildLargeList(TARGET.vms, TARGET.replicas);
  const entries = list.vms.filter(({ role }) => role === "entry")
    .map(({ id }) => id);
  const shards = new Map<string, number>();
  const replicas = new Map<string, number>();
  let count = 0;
  for (const pool of buildLargeSnapshot(1, TARGET.replicas).pools.values()) {
    const sizes = new Map<string, number>();
    for (const vm of list.vms) {
      if (vm.pool !== pool.name) continue;
      addTo(sizes, chooseShardOfUpstream(pool, vm.id), 1);
    }
    for (const shard of listPoolShards(pool)) {
      const owner = pickRendezvousFirst(buildShardKey(shard), entries)!;
      addTo(shards, owner, 1);
      addTo(replicas, owner, sizes.get(shard) ?? 0);
      count += 1;
    }
  }
  return {
    shards: count,
    mostShards: Math.max(...shards.values()),
    mostReplicas: Math.max(...replicas.values()),
  };
}

function addTo(map: Map<string, number>, key: string, more: number): void {
  map.set(key, (map.get(key) ?? 0) + more);
}
