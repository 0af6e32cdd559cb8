/**
 * Builds published records and membership lists of any size.
 *
 * @module
 */
import { createHash } from "node:crypto";
import {
  buildSnapshot,
  type MembershipList,
  parseMembershipList,
  type Snapshot,
} from "../../src/version/index.ts";

const MODELS = 6;
const TIERS = 5;
const DATA_CENTRES = 13;
/**
 * Mean upstreams per shard; below the limit of 32, because hashing is uneven.
 */
const REPLICAS_PER_SHARD = 16;

/** Builds published records with `workspaces` workspaces and six models. */
export function buildLargeRecords(
  workspaces: number,
  replicas = 2_500,
): unknown[] {
  return [
    ...buildList(TIERS, buildTier),
    ...buildList(TIERS, buildClass),
    ...buildList(MODELS, (index) => buildPool(index, replicas)),
    ...buildList(workspaces, buildWorkspace),
  ];
}

/** Builds the snapshot of `buildLargeRecords`. */
export function buildLargeSnapshot(
  workspaces: number,
  replicas?: number,
): Snapshot {
  const records = buildLargeRecords(workspaces, replicas);
  const result = buildSnapshot(1, records);
  if (result.kind === "rejected") {
    throw new Error(JSON.stringify(result.problems.slice(0, 3)));
  }
  return result.snapshot;
}

/** Builds a published list of entry VMs and upstreams in 13 data centres. */
export function buildRawList(entries: number, upstreams: number): object {
  return {
    revision: 123_456,
    vms: [
      ...buildList(entries, (index) => ({
        ...buildVm(`entry-${index}`, index),
        role: "entry",
        peer_port: 7_001,
      })),
      ...buildList(upstreams, (index) => ({
        ...buildVm(`engine-${index}`, index),
        role: "upstream",
        pool: `models-${index % MODELS}`,
      })),
    ],
  };
}

/** Builds the same list, parsed. */
export function buildLargeList(
  entries: number,
  upstreams: number,
): MembershipList {
  return parseMembershipList(buildRawList(entries, upstreams));
}

/** Builds a workspace's record; `variant` distinguishes its versions. */
export function buildWorkspace(index: number, variant = 0): object {
  const name = `workspace-${index}`;
  return {
    kind: "workspace",
    schema: 2,
    name,
    key_hashes: [
      createHash("sha256").update(name).digest("hex"),
      createHash("sha256").update(`${name} next`).digest("hex"),
    ],
    default_class: "class-0",
    classes: buildList(TIERS, (one) => `class-${one}`),
    weight: 4,
    limits: {
      requests_per_minute: 3_000 + variant,
      tokens_per_minute: 1_500_000,
    },
    objectives: {},
  };
}

function buildTier(index: number): object {
  return {
    kind: "tier",
    schema: 1,
    name: `tier-${index}`,
    rank: index,
    max_slot_share: 1,
  };
}

function buildClass(index: number): object {
  return {
    kind: "request_class",
    schema: 2,
    name: `class-${index}`,
    tier: `tier-${index}`,
    targets: {
      first_token_ms: 1_400,
      between_tokens_ms: 37,
      total_ms: 60_000,
    },
    late_is_useful: true,
    idempotent: true,
    min_share: 0.05,
    max_wait_ms: 30_000,
    queue_limit: 10_000,
    max_output_tokens: 1_024,
    objective: 0.95,
  };
}

function buildPool(index: number, replicas: number): object {
  const each = Math.ceil(replicas / MODELS);
  return {
    kind: "upstream_pool",
    schema: 2,
    name: `models-${index}`,
    type: "model",
    shards: Math.ceil(each / REPLICAS_PER_SHARD),
    models: [{
      model: `model-${index}`,
      version: "2026-11",
      adapters: [],
      replicas: each,
    }],
    slots: { initial: 16, min: 4, max: 64 },
    fencing: "checked",
    timeouts: {
      first_byte_ms: 30_000,
      between_bytes_ms: 10_000,
      total_ms: 300_000,
    },
  };
}

function buildVm(id: string, index: number): object {
  return {
    id,
    state: "live",
    data_centre: `dc-${index % DATA_CENTRES}`,
    address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
    port: 7_000,
  };
}

function buildList<T>(length: number, build: (index: number) => T): T[] {
  return Array.from({ length }, (_, index) => build(index));
}
