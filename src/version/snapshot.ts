/**
 * Builds a snapshot from published records, or the problems that they are
 * rejected for.
 *
 * @module
 */
import { findCrossProblems } from "./cross_checks.ts";
import { type ParsedRecord, parseRecord } from "./parse_record.ts";
import { compareProblems } from "./record_problem.ts";
import type { RecordProblem } from "./record_problem.ts";
import type { Snapshot } from "./records.ts";
import { buildMaps, collectByKind } from "./snapshot_maps.ts";

const MAX_RECORDS = 100_000;

/** Result of validating one version of the records. */
export type SnapshotResult =
  | { kind: "accepted"; snapshot: Snapshot }
  | { kind: "rejected"; version: number; problems: RecordProblem[] };

/**
 * Validates `records` and builds their snapshot; never throws.
 *
 * The result depends only on the version and the set of records, not on a
 * clock, the environment, previously accepted versions or the order of the
 * records. Otherwise one VM could reject a version that the others accept, and
 * two VMs would treat the same request differently.
 *
 * `parse` may cache results of `parseRecord`.
 *
 * Records are validated individually first, and checked against each other only
 * if each one is valid. Otherwise a reference to an invalid record would also
 * be reported as a reference to an unknown one.
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
 * Checks the number of records. An empty set is rejected, so that the last good
 * version stays in use: an index that names no groups by mistake would remove
 * all classes and keys, and every VM would refuse all requests within seconds.
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
