/**
 * Schemas of the published records: version 1 (flat) and version 2 (nested,
 * with more fields). docs/RECORDS.md describes each field.
 *
 * @module
 */
import { z } from "zod";
import type {
  ClassName,
  ModelName,
  PoolName,
  TierName,
  WorkspaceName,
} from "../ids.ts";
import {
  buildChoiceField,
  buildCountField,
  buildDurationField,
  buildFlagField,
  buildKeyHashField,
  buildLabelField,
  buildListField,
  buildNameField,
  buildObjectiveField,
  buildOptionalShareField,
  buildShareField,
  buildWeightField,
} from "./fields.ts";

/** Maximum share of slot time that all classes together may reserve. */
export const MAX_MIN_SHARE_SUM = 0.5;

const MAX_RANK = 99;
const MAX_SHARDS = 1_024;
const MAX_SLOTS = 4_096;
const MAX_REPLICAS = 100_000;

function buildHeader<const K extends string, const S extends number>(
  kind: K,
  schema: S,
) {
  return { kind: z.literal(kind), schema: z.literal(schema) };
}

export const TIER_V1 = z.strictObject({
  ...buildHeader("tier", 1),
  name: buildNameField<TierName>(),
  rank: buildCountField(0, MAX_RANK),
  max_slot_share: buildShareField(1).default(1),
});

const TARGET_FIELDS = {
  first_token_ms: buildDurationField(),
  between_tokens_ms: buildDurationField(),
  total_ms: buildDurationField(),
};

const CLASS_FIELDS = {
  name: buildNameField<ClassName>(),
  tier: buildNameField<TierName>(),
  late_is_useful: buildFlagField(),
  idempotent: buildFlagField(),
  min_share: buildShareField(MAX_MIN_SHARE_SUM),
  max_wait_ms: buildDurationField(),
  queue_limit: buildCountField(1, 1_000_000),
  max_output_tokens: buildCountField(1, 10_000_000),
};

const TARGETS_ERROR = "first_token_ms at most total_ms";

export const REQUEST_CLASS_V1 = z.strictObject({
  ...buildHeader("request_class", 1),
  ...CLASS_FIELDS,
  ...TARGET_FIELDS,
}).refine((record) => record.first_token_ms <= record.total_ms, {
  error: TARGETS_ERROR,
  path: ["first_token_ms"],
});

export const REQUEST_CLASS_V2 = z.strictObject({
  ...buildHeader("request_class", 2),
  ...CLASS_FIELDS,
  targets: z.strictObject(TARGET_FIELDS, { error: "an object of targets" }),
  objective: buildObjectiveField(),
}).refine(
  ({ targets }) => targets.first_token_ms <= targets.total_ms,
  { error: TARGETS_ERROR, path: ["targets", "first_token_ms"] },
);

const LIMIT_FIELDS = {
  requests_per_minute: buildCountField(1),
  tokens_per_minute: buildCountField(1),
};

const WORKSPACE_FIELDS = {
  name: buildNameField<WorkspaceName>(),
  key_hashes: buildListField(buildKeyHashField(), 1),
  default_class: buildNameField<ClassName>(),
  classes: buildListField(buildNameField<ClassName>(), 1),
  weight: buildShareField(1_000_000),
};

export const WORKSPACE_V1 = z.strictObject({
  ...buildHeader("workspace", 1),
  ...WORKSPACE_FIELDS,
  ...LIMIT_FIELDS,
});

export const WORKSPACE_V2 = z.strictObject({
  ...buildHeader("workspace", 2),
  ...WORKSPACE_FIELDS,
  limits: z.strictObject(LIMIT_FIELDS, { error: "an object of limits" }),
  objectives: z.record(buildNameField<ClassName>(), buildObjectiveField(), {
    error: "an object from class names to objectives",
  }).default({}),
});

const POOL_FIELDS = {
  name: buildNameField<PoolName>(),
  type: buildChoiceField(["model", "service"]),
  shards: buildCountField(1, MAX_SHARDS),
  default_class: buildNameField<ClassName>().optional(),
};

const MODEL_FIELD = buildLabelField().transform((name) => name as ModelName);
const ADAPTERS_FIELD = buildListField(buildLabelField(), 0).default([]);

export const UPSTREAM_POOL_V1 = z.strictObject({
  ...buildHeader("upstream_pool", 1),
  ...POOL_FIELDS,
  model: MODEL_FIELD.optional(),
  model_version: buildLabelField().optional(),
  adapters: ADAPTERS_FIELD,
  replicas: buildCountField(1, MAX_REPLICAS).optional(),
  initial_slots: buildCountField(1, MAX_SLOTS),
  min_slots: buildCountField(1, MAX_SLOTS),
  max_slots: buildCountField(1, MAX_SLOTS),
  first_byte_ms: buildDurationField(),
  between_bytes_ms: buildDurationField(),
  total_ms: buildDurationField(),
}).superRefine((pool, context) => {
  const isModel = pool.type === "model";
  for (const field of ["model", "model_version", "replicas"] as const) {
    if ((pool[field] !== undefined) === isModel) continue;
    const message = isModel ? "a value, for a model pool" : NO_MODEL_EXPECTED;
    context.addIssue({ code: "custom", path: [field], message });
  }
  if (!isModel && pool.adapters.length > 0) {
    context.addIssue({
      code: "custom",
      path: ["adapters"],
      message: NO_MODEL_EXPECTED,
    });
  }
  checkSlots(
    {
      initial: pool.initial_slots,
      min: pool.min_slots,
      max: pool.max_slots,
    },
    (message) =>
      context.addIssue({ code: "custom", path: ["initial_slots"], message }),
  );
  checkDefaultClass(
    pool,
    (message) =>
      context.addIssue({ code: "custom", path: ["default_class"], message }),
  );
});

const NO_MODEL_EXPECTED = "nothing, for a service pool";

const MODELS_FIELD = buildListField(
  z.strictObject({
    model: MODEL_FIELD,
    version: buildLabelField(),
    adapters: ADAPTERS_FIELD,
    replicas: buildCountField(1, MAX_REPLICAS),
  }, { error: "an object with model, version and replicas" }),
  0,
);

export const UPSTREAM_POOL_V2 = z.strictObject({
  ...buildHeader("upstream_pool", 2),
  ...POOL_FIELDS,
  models: MODELS_FIELD.default([]),
  slots: z.strictObject({
    initial: buildCountField(1, MAX_SLOTS),
    min: buildCountField(1, MAX_SLOTS),
    max: buildCountField(1, MAX_SLOTS),
  }, { error: "an object with initial, min and max" }),
  role: buildLabelField().optional(),
  fencing: buildChoiceField(["checked", "ignored"]),
  timeouts: z.strictObject({
    first_byte_ms: buildDurationField(),
    between_bytes_ms: buildDurationField(),
    total_ms: buildDurationField(),
  }, { error: "an object of timeouts" }),
}).superRefine((pool, context) => {
  if ((pool.models.length > 0) !== (pool.type === "model")) {
    const message = pool.type === "model"
      ? "at least one model"
      : NO_MODEL_EXPECTED;
    context.addIssue({ code: "custom", path: ["models"], message });
  }
  if (pool.role !== undefined && pool.type === "service") {
    context.addIssue({
      code: "custom",
      path: ["role"],
      message: NO_MODEL_EXPECTED,
    });
  }
  checkModelVersions(
    pool.models,
    (index, message) =>
      context.addIssue({ code: "custom", path: ["models", index], message }),
  );
  checkSlots(
    pool.slots,
    (message) =>
      context.addIssue({ code: "custom", path: ["slots", "initial"], message }),
  );
  checkDefaultClass(
    pool,
    (message) =>
      context.addIssue({ code: "custom", path: ["default_class"], message }),
  );
});

export const POLICY_V1 = z.strictObject({
  ...buildHeader("policy", 1),
  name: buildNameField(),
  weights: z.strictObject({
    wasted_work: buildWeightField(),
    goodput: buildWeightField(),
    attainment: buildWeightField(),
  }, { error: "an object of weights" }).refine(
    (weights) => weights.wasted_work + weights.goodput + weights.attainment > 0,
    { error: "at least one weight above 0" },
  ),
  retry_share: buildOptionalShareField(),
  preemption: buildFlagField(),
  weight_store_orders_per_minute: buildCountField(1, 1_000_000),
});

function checkSlots(
  slots: { initial: number; min: number; max: number },
  addProblem: (message: string) => void,
): void {
  if (slots.min <= slots.initial && slots.initial <= slots.max) return;
  addProblem("min at most initial, and initial at most max");
}

function checkModelVersions(
  models: readonly { model: string; version: string }[],
  addProblem: (index: number, message: string) => void,
): void {
  const seen = new Set<string>();
  for (const [index, { model, version }] of models.entries()) {
    const key = `${model} ${version}`;
    if (seen.has(key)) {
      addProblem(index, "a model and version that is not listed already");
    }
    seen.add(key);
  }
}

/**
 * Requires a default class for service pools. Otherwise a call without a class
 * would get the default class of its workspace. If that class is idempotent, a
 * call that must not be repeated would be retried and could, for example, book
 * a second slot for the same vehicle.
 */
function checkDefaultClass(
  pool: { type: "model" | "service"; default_class?: ClassName | undefined },
  addProblem: (message: string) => void,
): void {
  const hasClass = pool.default_class !== undefined;
  if (hasClass === (pool.type === "service")) return;
  addProblem(
    pool.type === "service"
      ? "the class of calls that name none, for a service pool"
      : "nothing, for a model pool",
  );
}
