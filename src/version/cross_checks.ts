/**
 * Consistency checks across the records of one set.
 *
 * @module
 */
import type { RecordProblem } from "./record_problem.ts";
import type {
  ConfigRecord,
  RequestClass,
  Tier,
  UpstreamPool,
  Workspace,
} from "./records.ts";
import { MAX_MIN_SHARE_SUM } from "./schemas.ts";

/**
 * Units per share of 1. Shares are summed as integers, since floating-point
 * sums depend on the order of the records.
 */
const SHARE_UNITS = 1_000_000;

/** The records of a set by kind, including duplicates. */
export interface RecordsByKind {
  tiers: Tier[];
  classes: RequestClass[];
  workspaces: Workspace[];
  pools: UpstreamPool[];
  policies: Extract<ConfigRecord, { kind: "policy" }>[];
}

/** Finds conflicts between records that are each valid on their own. */
export function findCrossProblems(records: RecordsByKind): RecordProblem[] {
  return [
    ...findDuplicateNames(records),
    ...findDuplicateRanks(records.tiers),
    ...findClassProblems(records),
    ...findShareProblems(records),
    ...records.workspaces.flatMap((workspace) =>
      findWorkspaceProblems(workspace, records)
    ),
    ...findDuplicateKeyHashes(records.workspaces),
    ...findPoolProblems(records),
    ...findPolicyProblems(records),
  ];
}

function buildProblem(
  record: ConfigRecord,
  path: string,
  expected: string,
): RecordProblem {
  return { kind: record.kind, name: record.name, path, expected };
}

function findDuplicateNames(records: RecordsByKind): RecordProblem[] {
  return Object.values(records).flatMap((list: ConfigRecord[]) =>
    findRepeated(list, (record) => [record.name]).map((record) =>
      buildProblem(record, "$.name", "a name used once within its kind")
    )
  );
}

function findDuplicateRanks(tiers: Tier[]): RecordProblem[] {
  return findRepeated(tiers, (tier) => [String(tier.rank)]).map((tier) =>
    buildProblem(tier, "$.rank", "a rank that no other tier has")
  );
}

function findDuplicateKeyHashes(workspaces: Workspace[]): RecordProblem[] {
  return findRepeated(workspaces, (workspace) => workspace.keyHashes).map(
    (workspace) =>
      buildProblem(
        workspace,
        "$.key_hashes",
        "hashes of keys that no other workspace has",
      ),
  );
}

/** Returns every record that shares a value with another one. */
function findRepeated<T>(
  records: readonly T[],
  listValues: (record: T) => readonly string[],
): T[] {
  const counts = new Map<string, number>();
  for (const value of records.flatMap(listValues)) {
    counts.set(value, (counts.get(value) ?? 0) + 1);
  }
  return records.filter((record) =>
    listValues(record).some((value) => (counts.get(value) ?? 0) > 1)
  );
}

function findClassProblems(records: RecordsByKind): RecordProblem[] {
  const tiers = listNames(records.tiers);
  return records.classes
    .filter((requestClass) => !tiers.has(requestClass.tier))
    .map((requestClass) =>
      buildProblem(requestClass, "$.tier", "the name of a tier in the records")
    );
}

function findShareProblems(records: RecordsByKind): RecordProblem[] {
  const problems: RecordProblem[] = [];
  const total = computeShareSum(records.classes);
  if (total > toShareUnits(MAX_MIN_SHARE_SUM)) {
    problems.push({
      kind: "request_class",
      name: "(all)",
      path: "$.min_share",
      expected: `a sum over all classes of at most ${MAX_MIN_SHARE_SUM}, ` +
        `not ${total / SHARE_UNITS}`,
    });
  }
  for (const tier of records.tiers) {
    const classes = records.classes.filter(({ tier: name }) =>
      name === tier.name
    );
    if (computeShareSum(classes) <= toShareUnits(tier.maxSlotShare)) continue;
    problems.push(buildProblem(
      tier,
      "$.max_slot_share",
      "at least the sum of min_share over the classes of the tier",
    ));
  }
  return problems;
}

function computeShareSum(classes: readonly RequestClass[]): number {
  return classes.reduce(
    (sum, { minShare }) => sum + toShareUnits(minShare),
    0,
  );
}

function toShareUnits(share: number): number {
  return Math.round(share * SHARE_UNITS);
}

function findWorkspaceProblems(
  workspace: Workspace,
  records: RecordsByKind,
): RecordProblem[] {
  const known = listNames(records.classes);
  const own = new Set<string>(workspace.classes);
  const problems = workspace.classes.flatMap((name, index) =>
    known.has(name) ? [] : [buildProblem(
      workspace,
      `$.classes[${index}]`,
      "the name of a request class in the records",
    )]
  );
  if (!own.has(workspace.defaultClass)) {
    problems.push(
      buildProblem(workspace, "$.default_class", "a name from $.classes"),
    );
  }
  for (const name of Object.keys(workspace.objectives)) {
    if (own.has(name)) continue;
    problems.push(buildProblem(
      workspace,
      `$.objectives.${name}`,
      "a name from $.classes",
    ));
  }
  return problems;
}

function findPoolProblems(records: RecordsByKind): RecordProblem[] {
  const classes = listNames(records.classes);
  return records.pools
    .filter(({ defaultClass }) => defaultClass && !classes.has(defaultClass))
    .map((pool) =>
      buildProblem(
        pool,
        "$.default_class",
        "the name of a request class in the records",
      )
    );
}

function findPolicyProblems({ policies }: RecordsByKind): RecordProblem[] {
  if (policies.length <= 1) return [];
  return policies.map((policy) =>
    buildProblem(policy, "$.kind", "at most one policy in the records")
  );
}

function listNames(records: readonly ConfigRecord[]): ReadonlySet<string> {
  return new Set(records.map(({ name }) => name));
}
