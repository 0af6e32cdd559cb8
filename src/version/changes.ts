/**
 * The differences between two accepted configurations, and the request classes
 * and workspaces that each of them affects.
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
  /** Path within the record, for example `$.targets.firstTokenMs`. */
  path: string;
  /** `undefined` if the field was added. */
  before: unknown;
  /** `undefined` if the field was removed. */
  after: unknown;
}

/** A record that differs, with the classes and workspaces affected by it. */
export interface SnapshotChange {
  kind: ConfigRecord["kind"];
  name: string;
  change: "added" | "removed" | "changed";
  /** Empty for a record that was added or removed. */
  fields: FieldChange[];
  /** Request classes that the change affects, in either configuration. */
  classes: ClassName[];
  /** Workspaces that the change affects, in either configuration. */
  workspaces: WorkspaceName[];
  /** One-sentence description; contains no key hash. */
  text: string;
}

interface RecordPair {
  before: ConfigRecord | undefined;
  after: ConfigRecord | undefined;
}

interface Impact {
  classes: ClassName[];
  workspaces: WorkspaceName[];
}

const KIND_LABELS: Record<ConfigRecord["kind"], string> = {
  tier: "Tier",
  request_class: "Request class",
  workspace: "Workspace",
  upstream_pool: "Upstream pool",
  policy: "Policy",
};

/** Compares two snapshots record by record; ignores their versions. */
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
  const { classes, workspaces } = findTotalImpact(pair, snapshots);
  const head = `${KIND_LABELS[record.kind]} ${record.name}`;
  const detail = change === "changed"
    ? `: ${fields.map(formatField).join("; ")}`
    : ` is ${change}`;
  const impact = formatImpact(record, { classes, workspaces });
  return {
    kind: record.kind,
    name: record.name,
    change,
    fields,
    classes,
    workspaces,
    text: `${head}${detail}. ${impact}.`,
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
  // The text may be copied into logs and tickets, which must not contain key
  // hashes.
  if (field === "keyHashes") return "its keys change";
  return `${field} goes from ${formatValue(before)} to ${formatValue(after)}`;
}

function formatValue(value: unknown): string {
  return value === undefined ? "nothing" : JSON.stringify(value);
}

/**
 * Computes the impact over both snapshots: a workspace that loses a class is
 * affected as much as one that gains it.
 */
function findTotalImpact(
  pair: RecordPair,
  snapshots: readonly Snapshot[],
): Impact {
  const classes = new Set<ClassName>();
  const workspaces = new Set<WorkspaceName>();
  for (const snapshot of snapshots) {
    for (const record of [pair.before, pair.after]) {
      if (!record) continue;
      const found = findImpact(record, snapshot);
      for (const name of found.classes) classes.add(name);
      for (const name of found.workspaces) workspaces.add(name);
    }
  }
  return {
    classes: [...classes].sort(compareStrings),
    workspaces: [...workspaces].sort(compareStrings),
  };
}

function findImpact(record: ConfigRecord, snapshot: Snapshot): Impact {
  return match(record)
    .with({ kind: "tier" }, (tier) => findTierImpact(tier, snapshot))
    .with({ kind: "request_class" }, (one) => findClassImpact([one], snapshot))
    .with({ kind: "workspace" }, ({ name, classes }) => ({
      classes,
      workspaces: [name],
    }))
    .with({ kind: "upstream_pool" }, () => findFleetImpact(snapshot))
    .with({ kind: "policy" }, () => findFleetImpact(snapshot))
    .exhaustive();
}

function findTierImpact(tier: Tier, snapshot: Snapshot): Impact {
  const classes = [...snapshot.classes.values()];
  return findClassImpact(
    classes.filter((requestClass) => requestClass.tier === tier.name),
    snapshot,
  );
}

function findClassImpact(
  classes: readonly RequestClass[],
  snapshot: Snapshot,
): Impact {
  const names = classes.map(({ name }) => name);
  const workspaces = [...snapshot.workspaces.values()].filter((workspace) =>
    workspace.classes.some((name) => names.includes(name))
  );
  return { classes: names, workspaces: workspaces.map(({ name }) => name) };
}

/**
 * The impact of the policy or of a pool: every class. Records do not link
 * classes to pools; a request selects its pool by model or path.
 */
function findFleetImpact(snapshot: Snapshot): Impact {
  return findClassImpact([...snapshot.classes.values()], snapshot);
}

function formatImpact(record: ConfigRecord, affected: Impact): string {
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
