/**
 * What changes for whom between two accepted configurations.
 *
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { match } from "ts-pattern";
import type { ClassName, WorkspaceName } from "../ids.ts";
import { compareStrings } from "./record_problem.ts";
import type { ConfigRecord, RequestClass, Snapshot, Tier } from "./records.ts";

/** One field of a record that differs. */
export interface FieldChange {
  /** Where in the record, for example `$.targets.firstTokenMs`. */
  path: string;
  /** `undefined` where the field is new. */
  before: unknown;
  /** `undefined` where the field is gone. */
  after: unknown;
}

/** A record that differs, and whom that affects. */
export interface SnapshotChange {
  kind: ConfigRecord["kind"];
  name: string;
  change: "added" | "removed" | "changed";
  /** Empty for a record that is added or removed. */
  fields: FieldChange[];
  /** Request classes that are affected, before or after the change. */
  classes: ClassName[];
  /** Workspaces that are affected, before or after the change. */
  workspaces: WorkspaceName[];
  /** The change in a sentence, without any key hash. */
  text: string;
}

interface RecordPair {
  before: ConfigRecord | undefined;
  after: ConfigRecord | undefined;
}

interface Affected {
  classes: ClassName[];
  workspaces: WorkspaceName[];
}

const KIND_TEXTS: Record<ConfigRecord["kind"], string> = {
  tier: "Tier",
  request_class: "Request class",
  workspace: "Workspace",
  upstream_pool: "Upstream pool",
  policy: "Policy",
};

/** Compares two snapshots record by record; versions are not compared. */
export function compareSnapshots(
  before: Snapshot,
  after: Snapshot,
): SnapshotChange[] {
  return listPairs(before, after)
    .filter((pair) => !isDeepStrictEqual(pair.before, pair.after))
    .map((pair) => buildChange(pair, [before, after]));
}

function listPairs(before: Snapshot, after: Snapshot): RecordPair[] {
  return [
    ...collectPairs(before.tiers, after.tiers),
    ...collectPairs(before.classes, after.classes),
    ...collectPairs(before.workspaces, after.workspaces),
    ...collectPairs(before.pools, after.pools),
    { before: before.policy, after: after.policy },
  ];
}

function collectPairs<K extends string>(
  before: ReadonlyMap<K, ConfigRecord>,
  after: ReadonlyMap<K, ConfigRecord>,
): RecordPair[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.sort(compareStrings).map((name) => ({
    before: before.get(name),
    after: after.get(name),
  }));
}

function buildChange(
  pair: RecordPair,
  snapshots: readonly Snapshot[],
): SnapshotChange {
  const record = (pair.after ?? pair.before) as ConfigRecord;
  const change = findChangeKind(pair);
  const fields = change === "changed"
    ? listFieldChanges([], [pair.before, pair.after])
    : [];
  const { classes, workspaces } = findAffected(pair, snapshots);
  const head = `${KIND_TEXTS[record.kind]} ${record.name}`;
  const detail = change === "changed"
    ? `: ${fields.map(formatField).join("; ")}`
    : ` is ${change}`;
  const reach = formatReach(record, { classes, workspaces });
  return {
    kind: record.kind,
    name: record.name,
    change,
    fields,
    classes,
    workspaces,
    text: `${head}${detail}. ${reach}.`,
  };
}

function findChangeKind({ before, after }: RecordPair) {
  if (!before) return "added";
  return after ? "changed" : "removed";
}

function listFieldChanges(
  keys: readonly string[],
  [before, after]: readonly [unknown, unknown],
): FieldChange[] {
  if (isDeepStrictEqual(before, after)) return [];
  if (!isRecord(before) || !isRecord(after)) {
    return [{ path: `$.${keys.join(".")}`, before, after }];
  }
  const names = new Set([...Object.keys(before), ...Object.keys(after)]);
  return [...names].sort(compareStrings).flatMap((name) =>
    listFieldChanges([...keys, name], [before[name], after[name]])
  );
}

function isRecord(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

function formatField({ path, before, after }: FieldChange): string {
  const field = path.slice("$.".length);
  // Hashes of keys would end in logs and tickets; the counts are enough.
  if (field === "keyHashes") return "its keys change";
  return `${field} goes from ${formatValue(before)} to ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}

/**
 * Whom a record reaches, over both snapshots: a workspace that loses a class
 * is as much affected as one that gains it.
 */
function findAffected(
  pair: RecordPair,
  snapshots: readonly Snapshot[],
): Affected {
  const classes = new Set<ClassName>();
  const workspaces = new Set<WorkspaceName>();
  for (const snapshot of snapshots) {
    for (const record of [pair.before, pair.after]) {
      if (!record) continue;
      const found = findReach(record, snapshot);
      for (const name of found.classes) classes.add(name);
      for (const name of found.workspaces) workspaces.add(name);
    }
  }
  return {
    classes: [...classes].sort(compareStrings),
    workspaces: [...workspaces].sort(compareStrings),
  };
}

function findReach(record: ConfigRecord, snapshot: Snapshot): Affected {
  return match(record)
    .with({ kind: "tier" }, (tier) => findTierReach(tier, snapshot))
    .with({ kind: "request_class" }, (one) => findClassReach([one], snapshot))
    .with({ kind: "workspace" }, ({ name, classes }) => ({
      classes,
      workspaces: [name],
    }))
    .with({ kind: "upstream_pool" }, () => findWholeReach(snapshot))
    .with({ kind: "policy" }, () => findWholeReach(snapshot))
    .exhaustive();
}

function findTierReach(tier: Tier, snapshot: Snapshot): Affected {
  const classes = [...snapshot.classes.values()];
  return findClassReach(
    classes.filter((requestClass) => requestClass.tier === tier.name),
    snapshot,
  );
}

function findClassReach(
  classes: readonly RequestClass[],
  snapshot: Snapshot,
): Affected {
  const names = classes.map(({ name }) => name);
  const workspaces = [...snapshot.workspaces.values()].filter((workspace) =>
    workspace.classes.some((name) => names.includes(name))
  );
  return { classes: names, workspaces: workspaces.map(({ name }) => name) };
}

/**
 * The reach of the policy and of a pool. The records tie no class to a pool: a
 * caller chooses it by the model or the path.
 */
function findWholeReach(snapshot: Snapshot): Affected {
  return findClassReach([...snapshot.classes.values()], snapshot);
}

function formatReach(record: ConfigRecord, affected: Affected): string {
  const workspaces = affected.workspaces.join(", ") || "no workspace";
  const classes = affected.classes.join(", ") || "no request class";
  return match(record.kind)
    .with("workspace", () => `Its classes: ${classes}`)
    .with("request_class", () => `Affects ${workspaces}`)
    .with("tier", () => `Affects ${classes} of ${workspaces}`)
    .with("upstream_pool", () => "May affect every workspace that calls it")
    .with("policy", () => "Affects every workspace")
    .exhaustive();
}
