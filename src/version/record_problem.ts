/**
 * Validation problems of records, worded for the author of the records.
 *
 * @module
 */

/** One reason why a set of records is rejected. */
export interface RecordProblem {
  /** The record's kind, if it could be read. */
  kind: string | undefined;
  /** The record's name, if it could be read. */
  name: string | undefined;
  /** Path within the record, for example `$.limits.requests_per_minute`. */
  path: string;
  /** Description of the valid values. */
  expected: string;
}

/** Formats `problem` as one line of text. */
export function formatProblem(problem: RecordProblem): string {
  const kind = problem.kind ?? "record of unknown kind";
  const name = problem.name ?? "(no readable name)";
  return `${kind} ${name}: ${problem.path}: expected ${problem.expected}`;
}

/**
 * Compares strings by UTF-16 code unit. A locale's order would depend on the
 * VM's environment, and two VMs could report the same version differently.
 */
export function compareStrings(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Compares problems by text, so that reports do not depend on record order. */
export function compareProblems(
  left: RecordProblem,
  right: RecordProblem,
): number {
  return compareStrings(formatProblem(left), formatProblem(right));
}

/** Formats the keys that lead to a value as a JSON path. */
export function formatPath(keys: readonly PropertyKey[]): string {
  const steps = keys.map((key) =>
    typeof key === "number" ? `[${key}]` : `.${String(key)}`
  );
  return `$${steps.join("")}`;
}
