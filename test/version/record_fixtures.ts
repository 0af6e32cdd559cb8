/**
 * A small valid set of records that tests modify field by field.
 *
 * @module
 */
import { buildSnapshot, computeKeyHash } from "../../src/version/index.ts";
import type { RecordProblem, Snapshot } from "../../src/version/index.ts";

/** A published record. */
export type RawRecord = Record<string, unknown>;

/** Records by name. */
export type RawRecords = Record<string, RawRecord>;

/** Builds a new copy of the valid records, which a test may modify. */
export function buildRawRecords(): RawRecords {
  return {
    high: { kind: "tier", schema: 1, name: "high", rank: 0 },
    low: { kind: "tier", schema: 1, name: "low", rank: 1, max_slot_share: 0.5 },
    chat: {
      ...buildRawClass("chat", "high"),
      schema: 1,
      first_token_ms: 1_400,
      between_tokens_ms: 60,
      total_ms: 30_000,
    },
    hold: {
      ...buildRawClass("hold", "low"),
      schema: 2,
      idempotent: false,
      targets: { first_token_ms: 500, between_tokens_ms: 500, total_ms: 5_000 },
      objective: 0.99,
    },
    web: {
      ...buildRawWorkspace("web"),
      schema: 1,
      requests_per_minute: 60,
      tokens_per_minute: 6_000,
    },
    desk: {
      ...buildRawWorkspace("desk"),
      schema: 2,
      limits: { requests_per_minute: 60, tokens_per_minute: 6_000 },
      objectives: { chat: 0.9 },
    },
    engines: {
      kind: "upstream_pool",
      schema: 2,
      name: "engines",
      type: "model",
      shards: 1,
      models: [{ model: "m", version: "1", adapters: ["a"], replicas: 2 }],
      slots: { initial: 4, min: 1, max: 8 },
      fencing: "checked",
      timeouts: {
        first_byte_ms: 1_000,
        between_bytes_ms: 1_000,
        total_ms: 9_000,
      },
    },
    booking: {
      kind: "upstream_pool",
      schema: 1,
      name: "booking",
      type: "service",
      shards: 1,
      default_class: "hold",
      initial_slots: 4,
      min_slots: 1,
      max_slots: 8,
      first_byte_ms: 1_000,
      between_bytes_ms: 1_000,
      total_ms: 9_000,
    },
    policy: {
      kind: "policy",
      schema: 1,
      name: "policy",
      weights: { wasted_work: 1, goodput: 2, attainment: 3 },
      retry_share: 0.1,
      preemption: true,
      weight_store_orders_per_minute: 6,
    },
  };
}

function buildRawClass(name: string, tier: string): RawRecord {
  return {
    kind: "request_class",
    name,
    tier,
    late_is_useful: false,
    idempotent: true,
    min_share: 0.1,
    max_wait_ms: 1_000,
    queue_limit: 10,
    max_output_tokens: 100,
  };
}

function buildRawWorkspace(name: string): RawRecord {
  return {
    kind: "workspace",
    name,
    key_hashes: [computeKeyHash(`${name}-key`)],
    default_class: "chat",
    classes: ["chat", "hold"],
    weight: 1,
  };
}

/** Builds the snapshot of `records`; throws if they are rejected. */
export function buildAccepted(records: readonly unknown[]): Snapshot {
  const result = buildSnapshot(1, records);
  if (result.kind === "accepted") return result.snapshot;
  throw new Error(JSON.stringify(result.problems));
}

/** Returns the problems of `records`; none if they are accepted. */
export function findProblems(records: readonly unknown[]): RecordProblem[] {
  const result = buildSnapshot(1, records);
  return result.kind === "rejected" ? result.problems : [];
}
