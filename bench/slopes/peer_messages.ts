/**
 * Builds calls between VMs of the sizes that they have in a large fleet.
 *
 * @module
 */
import { type Incarnation, toId, type VmId } from "../../src/ids.ts";
import type {
  AcquireCall,
  LeaseUpdate,
  LimitCall,
  PeerIdentity,
  ProbeCall,
  ShardSummary,
  SyncCall,
} from "../../src/process/peer_api.ts";

/** Secret between both ends of the benchmark. */
export const PEER_SECRET = "slopes-secret-of-32-characters-..";

const FROM: PeerIdentity = {
  vm: toId<VmId>("entry-217"),
  incarnation: toId<Incarnation>("9f86d081884c7d65"),
};
const REQUEST_ID = "entry-217.9f86d081884c7d65.48123.1a2b3c4d.0f3a9c1bd2e45f60";

/** Builds an acquire call for a request with `prefixes` prompt prefixes. */
export function buildAcquire(prefixes: number): AcquireCall {
  return {
    from: FROM,
    shard: toId("models-3/12"),
    ticket: toId("entry-217.1a2b3c4d.48123"),
    requestId: toId(REQUEST_ID),
    workspace: toId("workspace-1482"),
    className: toId("long_adaptation"),
    model: toId("model-3"),
    adapter: undefined,
    ageMs: 1.204,
    deadlineInMs: 29_998.796,
    promptTokens: 1_200,
    maxTokens: 1_024,
    doneTokens: 0,
    idempotent: true,
    prefixes: Array.from(
      { length: prefixes },
      (_, index) => (0x9f86d081884c + index).toString(16).padStart(16, "0"),
    ),
    avoid: [],
    holdMs: 10_000,
  };
}

/** Builds a call that renews `leases` leases. */
export function buildSync(leases: number): SyncCall {
  return {
    from: FROM,
    shard: toId("models-3/12"),
    news: Array.from({ length: leases }, (_, index) => buildLeaseUpdate(index)),
    withdrawn: [],
  };
}

/** Builds a probe with `summaries` shard summaries. */
export function buildProbe(summaries: number): ProbeCall {
  return {
    from: FROM,
    counter: 3,
    draining: false,
    members: [],
    summaries: buildSummaries(summaries),
    configVersion: 1_234_567,
    configDigest: "9f86d081884c7d65",
    listRevision: 123_456,
    listAgeMs: 1_234,
  };
}

/** Builds a call that leases a chunk of a workspace's limit. */
export function buildLimitCall(): LimitCall {
  return {
    from: FROM,
    workspace: toId("workspace-1482"),
    requests: 2,
    tokens: 2_400,
  };
}

/** Builds the summaries of `count` shards. */
export function buildSummaries(count: number): ShardSummary[] {
  return Array.from({ length: count }, (_, index) => ({
    shard: toId(`models-3/${index}`),
    owner: toId(`entry-${200 + index}`),
    room: 12,
    slots: 256,
    waitingByRank: { 0: 1, 1: 12, 2: 8, 3: 4, 4: 31 },
    lowestRank: 4,
    expectedWaitMs: 1_250,
    sequence: 48_123,
  }));
}

function buildLeaseUpdate(index: number): LeaseUpdate {
  return {
    lease: toId(`models-3/12:0f3a9c1b:${48_000 + index}`),
    ticket: toId(`entry-217.1a2b3c4d.${48_000 + index}`),
    upstream: toId(`engine-${1_400 + index}`),
    className: toId("long_adaptation"),
    workspace: toId("workspace-1482"),
    idempotent: true,
    state: "running",
    promptTokens: 1_200,
    tokens: 311,
    firstTokenMs: 412.31,
    betweenTokensMs: 27.214,
  };
}
