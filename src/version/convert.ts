/**
 * Converts published records of either schema version to the types of
 * records.ts.
 *
 * @module
 */
import type { z } from "zod";
import type {
  Policy,
  RequestClass,
  Tier,
  UpstreamPool,
  Workspace,
} from "./records.ts";
import type {
  POLICY_V1,
  REQUEST_CLASS_V1,
  REQUEST_CLASS_V2,
  TIER_V1,
  UPSTREAM_POOL_V1,
  UPSTREAM_POOL_V2,
  WORKSPACE_V1,
  WORKSPACE_V2,
} from "./schemas.ts";

/** Default objective of a class in schema 1, which has no such field. */
const V1_OBJECTIVE = 0.95;
/**
 * Default fencing mode of a pool in schema 1, which has no such field.
 * "ignored" is the safe default: if engines were wrongly assumed to check
 * fencing numbers, they would obey a previous owner that resumes late. If they
 * are wrongly assumed to ignore them, commands are only delayed by the duration
 * of one lease.
 */
const V1_FENCING = "ignored";

export function convertTier(record: z.output<typeof TIER_V1>): Tier {
  return {
    kind: "tier",
    name: record.name,
    rank: record.rank,
    maxSlotShare: record.max_slot_share,
  };
}

export function convertRequestClass(
  record: z.output<typeof REQUEST_CLASS_V1 | typeof REQUEST_CLASS_V2>,
): RequestClass {
  const targets = record.schema === 1 ? record : record.targets;
  return {
    kind: "request_class",
    name: record.name,
    tier: record.tier,
    targets: {
      firstTokenMs: targets.first_token_ms,
      betweenTokensMs: targets.between_tokens_ms,
      totalMs: targets.total_ms,
    },
    lateIsUseful: record.late_is_useful,
    idempotent: record.idempotent,
    minShare: record.min_share,
    maxWaitMs: record.max_wait_ms,
    queueLimit: record.queue_limit,
    maxOutputTokens: record.max_output_tokens,
    objective: record.schema === 1 ? V1_OBJECTIVE : record.objective,
  };
}

export function convertWorkspace(
  record: z.output<typeof WORKSPACE_V1 | typeof WORKSPACE_V2>,
): Workspace {
  const limits = record.schema === 1 ? record : record.limits;
  return {
    kind: "workspace",
    name: record.name,
    keyHashes: record.key_hashes,
    defaultClass: record.default_class,
    classes: record.classes,
    weight: record.weight,
    limits: {
      requestsPerMinute: limits.requests_per_minute,
      tokensPerMinute: limits.tokens_per_minute,
    },
    objectives: record.schema === 1 ? {} : record.objectives,
  };
}

export function convertUpstreamPool(
  record: z.output<typeof UPSTREAM_POOL_V1 | typeof UPSTREAM_POOL_V2>,
): UpstreamPool {
  const isFlat = record.schema === 1;
  const timeouts = isFlat ? record : record.timeouts;
  return {
    kind: "upstream_pool",
    name: record.name,
    type: record.type,
    models: isFlat ? listFlatModels(record) : record.models,
    shards: record.shards,
    slots: isFlat
      ? {
        initial: record.initial_slots,
        min: record.min_slots,
        max: record.max_slots,
      }
      : record.slots,
    ...(!isFlat && record.role !== undefined && { role: record.role }),
    fencing: isFlat ? V1_FENCING : record.fencing,
    timeouts: {
      firstByteMs: timeouts.first_byte_ms,
      betweenBytesMs: timeouts.between_bytes_ms,
      totalMs: timeouts.total_ms,
    },
    defaultClass: record.default_class,
  };
}

function listFlatModels(
  record: z.output<typeof UPSTREAM_POOL_V1>,
): UpstreamPool["models"] {
  const { model, model_version: version, replicas, adapters } = record;
  if (model === undefined) return [];
  if (version === undefined || replicas === undefined) return [];
  return [{ model, version, adapters, replicas }];
}

export function convertPolicy(record: z.output<typeof POLICY_V1>): Policy {
  return {
    kind: "policy",
    name: record.name,
    weights: {
      wastedWork: record.weights.wasted_work,
      goodput: record.weights.goodput,
      attainment: record.weights.attainment,
    },
    retryShare: record.retry_share,
    preemption: record.preemption,
    weightStoreOrdersPerMinute: record.weight_store_orders_per_minute,
  };
}
