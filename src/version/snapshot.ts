/**
 * From published records to one accepted snapshot, or to the reasons against.
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
