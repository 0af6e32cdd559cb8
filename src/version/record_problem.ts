/**
 * What is wrong with a record, in terms that its writer can act on.
 *
 * @module
 */

/** One reason why a set of records is refused. */
export interface RecordProblem {
  /** The record's kind, when it could be read. */
  kind: string | undefined;
  /** The record's name, when it could be read. */
  name: string | undefined;
  /** Where in the record, for example `$.limits.requests_per_minute`. */
  path: string;
  /** What should stand there. */
  expected: string;
}

/** Writes `problem` as one line of text. */
export function formatProblem(problem: RecordProblem): string {
  const kind = problem.kind ?? "record of unknown kind";
  const name = problem.name ?? "(no readable name)";
  return `${kind} ${name}: ${problem.path}: expected ${problem.expected}`;
}

/**
 * Orders texts by UTF-16 code unit. A locale's order would depend on the VM's
 * environment, and two VMs could then report one version differently.
 */
export function compareStrings(left: string, right: string): number {
  if (left === right) return 0;
  return left < right ? -1 : 1;
}

/** Orders problems by their text, so that the records' order is not seen. */
export function compareProblems(
  left: RecordProblem,
  right: RecordProblem,
): number {
  return compareStrings(formatProblem(left), formatProblem(right));
}

/** Writes the keys that lead to a value as a JSON path. */
export function formatPath(keys: readonly PropertyKey[]): string {
  const steps = keys.map((key) =>
    typeof key === "number" ? `[${key}]` : `.${String(key)}`
  );
  return `$${steps.join("")}`;
}
