/**
 * Records for fleets of real processes: three classes, a pool of engines and a
 * pool of services that share one workspace.
 *
 * @module
 */
import { createHash } from "node:crypto";

/** The workspace's key. */
export const CALLER_KEY = "key-of-the-office";
/** The model that the engines hold. */
export const MODEL = "easy-read";

/** Options of the records. */
export interface RecordOptions {
  /** Slots of each engine. */
  engineSlots?: number;
  /** Slots of each service replica. */
  serviceSlots?: number;
  /** The model version that the records require. */
  modelVersion?: string;
  engines?: number;
  fencing?: "checked" | "ignored";
  /** Distinguishes otherwise equal configuration versions. */
  requestsPerMinute?: number;
}

const CLASS = {
  kind: "request_class",
  schema: 1,
  tier: "standard",
  late_is_useful: true,
  idempotent: true,
  min_share: 0.05,
  max_wait_ms: 30_000,
  queue_limit: 500,
  max_output_tokens: 2_000,
  first_token_ms: 20_000,
  between_tokens_ms: 2_000,
  total_ms: 60_000,
};

/** Record groups in the form of `POST /control` of the platform stand-in. */
export function buildGroups(
  options: RecordOptions = {},
): Record<string, unknown[]> {
  return {
    policy: [buildPolicy()],
    tiers: [buildTier("urgent", 0), buildTier("standard", 1)],
    classes: buildClasses(),
    pools: [buildEnginePool(options), buildServicePool(options)],
    workspaces: [buildWorkspace(options)],
  };
}

function buildPolicy() {
  return {
    kind: "policy",
    schema: 1,
    name: "office",
    weights: { wasted_work: 1, goodput: 1, attainment: 1 },
    retry_share: 0.5,
    preemption: true,
    weight_store_orders_per_minute: 600,
  };
}

function buildTier(name: string, rank: number) {
  return { kind: "tier", schema: 1, name, rank, max_slot_share: 1 };
}

function buildClasses() {
  return [
    { ...CLASS, name: "chat" },
    {
      ...CLASS,
      name: "hold",
      tier: "urgent",
      idempotent: false,
      late_is_useful: false,
      total_ms: 20_000,
    },
    {
      ...CLASS,
      name: "lookup",
      tier: "urgent",
      late_is_useful: false,
      first_token_ms: 1_000,
      total_ms: 1_000,
      max_wait_ms: 1_000,
    },
  ];
}

function buildEnginePool(options: RecordOptions) {
  const slots = options.engineSlots ?? 4;
  return {
    kind: "upstream_pool",
    schema: 2,
    name: "engines",
    type: "model",
    shards: 1,
    models: [{
      model: MODEL,
      version: options.modelVersion ?? "1",
      adapters: [],
      replicas: options.engines ?? 2,
    }],
    slots: { initial: slots, min: slots, max: slots },
    fencing: options.fencing ?? "checked",
    timeouts: {
      first_byte_ms: 3_000,
      between_bytes_ms: 2_000,
      total_ms: 120_000,
    },
  };
}

function buildServicePool(options: RecordOptions) {
  const slots = options.serviceSlots ?? 8;
  return {
    kind: "upstream_pool",
    schema: 1,
    name: "booking",
    type: "service",
    shards: 1,
    default_class: "hold",
    initial_slots: slots,
    min_slots: slots,
    max_slots: slots,
    first_byte_ms: 4_000,
    between_bytes_ms: 2_000,
    total_ms: 30_000,
  };
}

function buildWorkspace(options: RecordOptions) {
  return {
    kind: "workspace",
    schema: 2,
    name: "office",
    key_hashes: [createHash("sha256").update(CALLER_KEY).digest("hex")],
    default_class: "chat",
    classes: ["chat", "hold", "lookup"],
    weight: 1,
    limits: {
      requests_per_minute: options.requestsPerMinute ?? 1_000_000,
      tokens_per_minute: 100_000_000,
    },
    objectives: {},
  };
}
