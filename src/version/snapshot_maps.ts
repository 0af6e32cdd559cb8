/**
 * Builds the look-up maps of a snapshot from validated records.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { ModelName } from "../ids.ts";
import type { RecordsByKind } from "./cross_checks.ts";
import { compareStrings } from "./record_problem.ts";
import type {
  ConfigRecord,
  Policy,
  Snapshot,
  UpstreamPool,
  Workspace,
} from "./records.ts";

/** Policy used if the records contain none. */
export const DEFAULT_POLICY: Policy = {
  kind: "policy",
  name: "default",
  weights: { wastedWork: 1, goodput: 1, attainment: 1 },
  retryShare: 0.1,
  preemption: true,
  weightStoreOrdersPerMinute: 6,
};

/** Builds a snapshot from records that were validated before. */
export function buildCheckedSnapshot(
  version: number,
  records: readonly ConfigRecord[],
): Snapshot {
  return buildMaps(version, collectByKind([...records]));
}

/** Groups records by kind and sorts each group by name. */
export function collectByKind(records: ConfigRecord[]): RecordsByKind {
  const byKind: RecordsByKind = {
    tiers: [],
    classes: [],
    workspaces: [],
    pools: [],
    policies: [],
  };
  const sorted = records.sort((a, b) => compareStrings(a.name, b.name));
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

/** Builds the maps that requests are resolved with. */
export function buildMaps(version: number, records: RecordsByKind): Snapshot {
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
