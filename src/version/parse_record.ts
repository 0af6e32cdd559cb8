/**
 * Parser of a single published record of any kind and schema version.
 *
 * @module
 */
import type { z } from "zod";
import {
  convertPolicy,
  convertRequestClass,
  convertTier,
  convertUpstreamPool,
  convertWorkspace,
} from "./convert.ts";
import { compareProblems, formatPath } from "./record_problem.ts";
import type { RecordProblem } from "./record_problem.ts";
import type { ConfigRecord } from "./records.ts";
import {
  POLICY_V1,
  REQUEST_CLASS_V1,
  REQUEST_CLASS_V2,
  TIER_V1,
  UPSTREAM_POOL_V1,
  UPSTREAM_POOL_V2,
  WORKSPACE_V1,
  WORKSPACE_V2,
} from "./schemas.ts";
import { findBoundProblem } from "./value_bounds.ts";

const MAX_SHOWN_NAME_LENGTH = 63;
const NO_SUCH_FIELD = "no field with this name";

/** A converted record, or the problems that it was rejected for. */
export type ParsedRecord =
  | { kind: "valid"; record: ConfigRecord }
  | { kind: "invalid"; problems: RecordProblem[] };

type RecordReader = (value: unknown) => ConfigRecord | z.core.$ZodIssue[];

const READERS: ReadonlyMap<string, readonly RecordReader[]> = new Map([
  ["tier", [buildReader(TIER_V1, convertTier)]],
  ["request_class", [
    buildReader(REQUEST_CLASS_V1, convertRequestClass),
    buildReader(REQUEST_CLASS_V2, convertRequestClass),
  ]],
  ["workspace", [
    buildReader(WORKSPACE_V1, convertWorkspace),
    buildReader(WORKSPACE_V2, convertWorkspace),
  ]],
  ["upstream_pool", [
    buildReader(UPSTREAM_POOL_V1, convertUpstreamPool),
    buildReader(UPSTREAM_POOL_V2, convertUpstreamPool),
  ]],
  ["policy", [buildReader(POLICY_V1, convertPolicy)]],
]);

const KINDS_EXPECTED = `one of ${[...READERS.keys()].join(", ")}`;

/**
 * Validates one record independently of all others and converts it; never
 * throws.
 */
export function parseRecord(value: unknown): ParsedRecord {
  const bound = findBoundProblem(value);
  if (bound) return buildInvalid([toProblem(value, bound)]);
  if (!isPlainObject(value)) {
    return buildInvalid([
      toProblem(value, { keys: [], expected: "an object" }),
    ]);
  }
  const readers = findReaders(value.kind);
  if (!readers) {
    return buildInvalid([
      toProblem(value, { keys: ["kind"], expected: KINDS_EXPECTED }),
    ]);
  }
  const reader = findReader(readers, value.schema);
  if (!reader) {
    const expected = readers.length === 1
      ? "the schema version 1"
      : `a schema version from 1 to ${readers.length}`;
    return buildInvalid([
      toProblem(value, { keys: ["schema"], expected }),
    ]);
  }
  const outcome = reader(value);
  if (!Array.isArray(outcome)) return { kind: "valid", record: outcome };
  return buildInvalid(
    outcome.flatMap((issue) => listProblems(value, issue)),
  );
}

function buildReader<T extends z.ZodType>(
  schema: T,
  convert: (record: z.output<T>) => ConfigRecord,
): RecordReader {
  return (value) => {
    const result = schema.safeParse(value);
    return result.success ? convert(result.data) : result.error.issues;
  };
}

function findReaders(kind: unknown): readonly RecordReader[] | undefined {
  return typeof kind === "string" ? READERS.get(kind) : undefined;
}

function findReader(
  readers: readonly RecordReader[],
  schema: unknown,
): RecordReader | undefined {
  return typeof schema === "number" ? readers[schema - 1] : undefined;
}

function buildInvalid(
  problems: RecordProblem[],
): ParsedRecord {
  return { kind: "invalid", problems: problems.sort(compareProblems) };
}

function listProblems(
  value: unknown,
  issue: z.core.$ZodIssue,
): RecordProblem[] {
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) =>
      toProblem(value, {
        keys: [...issue.path, key.slice(0, MAX_SHOWN_NAME_LENGTH)],
        expected: NO_SUCH_FIELD,
      })
    );
  }
  const expected = issue.code === "invalid_key"
    ? issue.issues[0]?.message ?? issue.message
    : issue.message;
  return [toProblem(value, { keys: issue.path, expected })];
}

function toProblem(
  value: unknown,
  fault: { keys: PropertyKey[]; expected: string },
): RecordProblem {
  const fields = isPlainObject(value) ? value : {};
  return {
    kind: findReaders(fields.kind) ? String(fields.kind) : undefined,
    name: readName(fields.name),
    path: formatPath(fault.keys),
    expected: fault.expected,
  };
}

function readName(name: unknown): string | undefined {
  if (typeof name !== "string") return undefined;
  return name.slice(0, MAX_SHOWN_NAME_LENGTH);
}

function isPlainObject(value: unknown): value is Record<string, unknown> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
