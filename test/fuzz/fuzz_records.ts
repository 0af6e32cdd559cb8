/**
 * Scaled-down records of the users: few replicas, slots and queue places, so
 * that short runs reach every limit.
 *
 * @module
 */
import {
  type ExampleRecords,
  readExampleRecords,
  type User,
} from "../../bench/support/example_records.ts";
import type { ListedVm, MembershipList } from "../../src/version/index.ts";

const ENGINES = 3;
const SERVICES = 2;
const QUEUE_LIMIT = 4;
const MAX_WAIT_MS = 4_000;
const MAX_TOTAL_MS = 20_000;
/** Each version has its own output cap, so that answers show their version. */
const BASE_CAP = 40;
const CAP_STEPS = 8;
/** Close enough to the duration of a slot for preemption to be worthwhile. */
const FIRST_TOKEN_MS = 1_800;
const SLOTS = { initial: 1, min: 1, max: 2 };
const TIMEOUTS = {
  first_byte_ms: 3_000,
  between_bytes_ms: 1_500,
  total_ms: 20_000,
};

const CAPPED_TIERS = ["documents", "lookups"];

type RawRecord = Record<string, unknown> & { kind: string };

const EXAMPLES = new Map<User, ExampleRecords>();

/** The example records of a user, read once per process. */
export function getExamples(user: User): ExampleRecords {
  const known = EXAMPLES.get(user);
  if (known !== undefined) return known;
  const examples = readExampleRecords(user);
  EXAMPLES.set(user, examples);
  return examples;
}

/** The output cap of model classes under `version`, in tokens. */
export function getOutputCap(version: number): number {
  return BASE_CAP + version % CAP_STEPS;
}

/** Builds the records of one version. */
export function buildFuzzRecords(user: User, version: number): unknown[] {
  return getExamples(user).records
    .map((record) => convertRecord(record as RawRecord, version));
}

/** Builds records that all VMs must reject: classes name missing tiers. */
export function buildInvalidRecords(user: User, version: number): unknown[] {
  return buildFuzzRecords(user, version)
    .filter((record) => (record as RawRecord).kind !== "tier");
}

/** Builds the list of a small fleet: entry VMs, engines, service replicas. */
export function buildFuzzList(user: User, entries: number): MembershipList {
  const { vms } = getExamples(user).list;
  const upstreams = vms.filter(({ role }) => role === "upstream");
  const { snapshot } = getExamples(user);
  const isOfType = (type: string) => (vm: ListedVm) =>
    vm.pool !== undefined && snapshot.pools.get(vm.pool)?.type === type;
  return {
    revision: 1,
    vms: [
      ...vms.filter(({ role }) => role === "entry").slice(0, entries),
      ...upstreams.filter(isOfType("model")).slice(0, ENGINES),
      ...upstreams.filter(isOfType("service")).slice(0, SERVICES),
    ],
  };
}

function convertRecord(record: RawRecord, version: number): RawRecord {
  if (record.kind === "request_class") return convertClass(record, version);
  if (record.kind === "upstream_pool") return convertPool(record);
  if (record.kind === "tier") return convertTier(record);
  return record;
}

/** Lifts the tier's slot cap: with so few slots it would prevent preemption. */
function convertTier(record: RawRecord): RawRecord {
  return CAPPED_TIERS.includes(String(record["name"]))
    ? record
    : { ...record, max_slot_share: 1 };
}

function convertClass(record: RawRecord, version: number): RawRecord {
  const isModel = Number(record["max_output_tokens"]) > 1;
  const targets = (record["targets"] ?? record) as Record<string, number>;
  const changed = {
    first_token_ms: Math.min(targets["first_token_ms"]!, FIRST_TOKEN_MS),
    total_ms: Math.min(targets["total_ms"]!, MAX_TOTAL_MS),
  };
  return {
    ...record,
    ...(record["targets"] === undefined
      ? changed
      : { targets: { ...targets, ...changed } }),
    queue_limit: QUEUE_LIMIT,
    max_wait_ms: Math.min(Number(record["max_wait_ms"]), MAX_WAIT_MS),
    max_output_tokens: isModel ? getOutputCap(version) : 1,
  };
}

function convertPool(record: RawRecord): RawRecord {
  if (record["slots"] === undefined) {
    return {
      ...record,
      initial_slots: SLOTS.initial,
      min_slots: SLOTS.min,
      max_slots: SLOTS.max,
      ...TIMEOUTS,
    };
  }
  const models = record["models"] as { replicas: number }[];
  return {
    ...record,
    // More than one shard, so that owners forward requests to each other.
    shards: record["name"] === "assist" ? 2 : 1,
    models: models.map((model) => ({ ...model, replicas: ENGINES })),
    slots: SLOTS,
    timeouts: TIMEOUTS,
  };
}
