/**
 * From published records to one accepted snapshot, or to the reasons against.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { ModelName } from "../ids.ts";
import { findCrossProblems } from "./cross_checks.ts";
import type { RecordsByKind } from "./cross_checks.ts";
import { type ParsedRecord, parseRecord } from "./parse_record.ts";
import { compareProblems, compareTexts } from "./record_problem.ts";
import type { RecordProblem } from "./record_problem.ts";
import type {
  ConfigRecord,
  Policy,
  Snapshot,
  UpstreamPool,
  Workspace,
} from "./records.ts";

const MAX_RECORDS = 100_000;

/** The policy where the records hold none. */
export const DEFAULT_POLICY: Policy = {
  kind: "policy",
  name: "default",
  weights: { wastedWork: 1, goodput: 1, attainment: 1 },
  retryShare: 0.1,
  preemption: true,
  weightStoreOrdersPerMinute: 6,
};

/** Whether a version of the records is accepted. */
export type SnapshotResult =
  | { kind: "accepted"; snapshot: Snapshot }
  | { kind: "rejected"; version: number; problems: RecordProblem[] };

/**
 * Validates `records` and builds their snapshot; never throws.
 *
 * The result depends on the version and the set of records alone: never on a
 * clock, the environment, what was accepted before or the records' order. A
 * VM that decided otherwise would keep an older version that the others have
 * left, which would show as one request treated differently by two VMs.
 *
 * `parse` may keep the results of `parseRecord` for records seen before.
 *
 * Records are checked one by one first, and against each other only when each
 * is valid by itself: a reference to a record that could not be read would
 * otherwise be reported as unknown too.
 */
export function buildSnapshot(
  version: number,
  records: readonly unknown[],
  options: { parse?: (record: unknown) => ParsedRecord } = {},
): SnapshotResult {
  const bound = findCountProblem(records);
  if (bound) return buildRejected(version, [bound]);
  const { parse = parseRecord } = options;
  const parsed = records.map((record) => parse(record));
  const problems = parsed.flatMap((result) =>
    result.kind === "invalid" ? result.problems : []
  );
  if (problems.length > 0) return buildRejected(version, problems);
  const valid = parsed.flatMap((result) =>
    result.kind === "valid" ? [result.record] : []
  );
  const byKind = collectByKind(valid);
  const crossProblems = findCrossProblems(byKind);
  if (crossProblems.length > 0) return buildRejected(version, crossProblems);
  return { kind: "accepted", snapshot: buildMaps(version, byKind) };
}

/**
 * An index that names no group by mistake must not leave the fleet without
 * classes and keys: every request would be refused within seconds, everywhere.
 * So an empty set is refused, and the last good version stays.
 */
function findCountProblem(
  records: readonly unknown[],
): RecordProblem | undefined {
  if (records.length >= 1 && records.length <= MAX_RECORDS) return undefined;
  return {
    kind: undefined,
    name: undefined,
    path: "$",
    expected: `from 1 to ${MAX_RECORDS} records`,
  };
}

function buildRejected(
  version: number,
  problems: RecordProblem[],
): SnapshotResult {
  return {
    kind: "rejected",
    version,
    problems: problems.sort(compareProblems),
  };
}

function collectByKind(records: ConfigRecord[]): RecordsByKind {
  const byKind: RecordsByKind = {
    tiers: [],
    classes: [],
    workspaces: [],
    pools: [],
    policies: [],
  };
  const sorted = records.sort((a, b) => compareTexts(a.name, b.name));
  for (const record of sorted) {
    match(record)
      .with({ kind: "tier" }, (tier) => byKind.tiers.push(tier))
      .with({ kind: "request_class" }, (one) => byKind.classes.push(one))
      .with({ kind: "workspace" }, (one) => byKind.workspaces.push(one))
      .with({ kind: "upstream_pool" }, (pool) => byKind.pools.push(pool))
      .with({ kind: "policy" }, (policy) => byKind.policies.push(policy))
      .exhaustive();
  }
  return byKind;
}

function buildMaps(version: number, records: RecordsByKind): Snapshot {
  return {
    version,
    tiers: toMapByName(records.tiers),
    classes: toMapByName(records.classes),
    workspaces: toMapByName(records.workspaces),
    pools: toMapByName(records.pools),
    policy: records.policies[0] ?? DEFAULT_POLICY,
    workspaceByKeyHash: toMapByKeyHash(records.workspaces),
    poolsByModel: toMapByModel(records.pools),
  };
}

function toMapByName<T extends ConfigRecord>(
  records: readonly T[],
): Map<T["name"], T> {
  return new Map(records.map((record) => [record.name, record]));
}

function toMapByKeyHash(
  workspaces: readonly Workspace[],
): Map<string, Workspace> {
  return new Map(
    workspaces.flatMap((workspace) =>
      workspace.keyHashes.map((hash) => [hash, workspace] as const)
    ),
  );
}

function toMapByModel(
  pools: readonly UpstreamPool[],
): Map<ModelName, UpstreamPool[]> {
  const byModel = new Map<ModelName, UpstreamPool[]>();
  for (const pool of pools) {
    for (const model of new Set(pool.models.map((entry) => entry.model))) {
      byModel.set(model, [...(byModel.get(model) ?? []), pool]);
    }
  }
  return byModel;
}
