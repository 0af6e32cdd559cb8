/**
 * Records of the overhead benchmark: one class, one pool, no effective limits.
 *
 * @module
 */
import type { Example, ExampleVm } from "../../demo/example_records.ts";
import { formatDemoKey } from "../../demo/example_records.ts";
import { computeKeyHash } from "../../src/version/index.ts";

/** Name of the model. */
export const MODEL = "overhead";
const WORKSPACE = "bench";
const MINUTE_MS = 60_000;
const UNLIMITED_PER_MINUTE = 1_000_000_000;
const SLOTS = 4_096;

/** API key of the callers. */
export const KEY = formatDemoKey(WORKSPACE);

/** Builds an example with two entry VMs and `engines` engines. */
export function buildOverheadExample(engines: number): Example {
  const classRecord = {
    kind: "request_class",
    schema: 2,
    name: "stream",
    tier: "only",
    targets: {
      first_token_ms: MINUTE_MS,
      between_tokens_ms: MINUTE_MS,
      total_ms: 10 * MINUTE_MS,
    },
    late_is_useful: true,
    idempotent: true,
    min_share: 0.1,
    max_wait_ms: MINUTE_MS,
    queue_limit: 10_000,
    max_output_tokens: 100_000,
    objective: 0.9,
  };
  const pool = {
    kind: "upstream_pool",
    schema: 2,
    name: "engines",
    type: "model",
    shards: 1,
    models: [{ model: MODEL, version: "1", adapters: [], replicas: engines }],
    slots: { initial: SLOTS, min: SLOTS, max: SLOTS },
    fencing: "checked",
    timeouts: {
      first_byte_ms: MINUTE_MS,
      between_bytes_ms: MINUTE_MS,
      total_ms: 10 * MINUTE_MS,
    },
  };
  const workspace = {
    kind: "workspace",
    schema: 2,
    name: WORKSPACE,
    key_hashes: [computeKeyHash(KEY)],
    default_class: "stream",
    classes: ["stream"],
    weight: 1,
    limits: {
      requests_per_minute: UNLIMITED_PER_MINUTE,
      tokens_per_minute: UNLIMITED_PER_MINUTE,
    },
    objectives: {},
  };
  const tier = {
    kind: "tier",
    schema: 1,
    name: "only",
    rank: 0,
    max_slot_share: 1,
  };
  return {
    user: "overhead",
    groups: { all: [tier, classRecord, pool, workspace] },
    vms: [...buildVms("entry", 2), ...buildVms("upstream", engines)],
  };
}

function buildVms(role: ExampleVm["role"], count: number): ExampleVm[] {
  return Array.from({ length: count }, (_, index) => ({
    id: `${role}-${index + 1}`,
    role,
    state: "live",
    data_centre: "dc-1",
    address: "127.0.0.1",
    port: 0,
    peer_port: 0,
    ...(role === "upstream" && { pool: "engines" }),
  }));
}
