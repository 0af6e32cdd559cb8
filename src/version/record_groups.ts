/**
 * The values stored in the configuration service: an index, and groups of
 * records of less than a megabyte each.
 *
 * @module
 */
import { z } from "zod";
import { StepError } from "../errors.ts";
import { compareStrings, formatPath } from "./record_problem.ts";
import { findBoundProblem } from "./value_bounds.ts";

/** Maximum size of one value in the configuration service. */
export const MAX_GROUP_BYTES = 1_000_000;

const MAX_GROUPS = 10_000;
/**
 * Group names are used in file and URL paths, so dots and slashes are invalid.
 */
const GROUP_NAME_PATTERN = /^[a-z][a-z0-9_-]{0,62}$/;
const GROUP_WRAPPER_BYTES = '{"records":[]}'.length;

const VALUE_LABELS = { index: "Index value", group: "Group value" };

const VERSION_EXPECTED = "a whole number of at least 1";
const NAME_EXPECTED = "group names of 1 to 63 lower-case letters, digits, _, -";
const GROUPS_EXPECTED = "an object from group names to versions";

const VERSION_FIELD = z.number({ error: VERSION_EXPECTED })
  .int({ error: VERSION_EXPECTED }).min(1, { error: VERSION_EXPECTED });

const INDEX_SCHEMA = z.strictObject({
  version: VERSION_FIELD,
  groups: z.record(
    z.string().regex(GROUP_NAME_PATTERN),
    VERSION_FIELD,
    {
      error: ({ code }) =>
        code === "invalid_key" ? NAME_EXPECTED : GROUPS_EXPECTED,
    },
  ),
}, { error: "an object with only version and groups" });

const GROUP_SCHEMA = z.strictObject(
  { records: z.array(z.unknown(), { error: "a list of records" }) },
  { error: "an object with only records" },
);

/** Maps a version of the configuration to the versions of its groups. */
export interface RecordIndex {
  version: number;
  groups: ReadonlyMap<string, number>;
}

/** Records that are published together in one value. */
export interface RecordGroup {
  name: string;
  records: unknown[];
}

/**
 * Parses an index value; throws a `StepError` that names the path.
 *
 * The bounds are checked first because zod ignores an entry named `__proto__`:
 * the index would be accepted with a group missing, and the workspaces of that
 * group would become unknown.
 */
export function parseIndex(value: unknown): RecordIndex {
  const bound = findBoundProblem(value);
  if (bound) {
    const path = formatPath(bound.keys);
    throw new StepError(
      { step: "read_index" },
      `Index value: ${path}: expected ${bound.expected}`,
    );
  }
  const result = INDEX_SCHEMA.safeParse(value);
  if (!result.success) throw toStepError("index", result.error);
  const entries = Object.entries(result.data.groups);
  if (entries.length > MAX_GROUPS) {
    throw new StepError(
      { step: "read_index" },
      `Expected at most ${MAX_GROUPS} groups at $.groups`,
    );
  }
  return { version: result.data.version, groups: new Map(entries) };
}

/** Parses a group value; throws a `StepError` that names the path. */
export function parseGroup(value: unknown): unknown[] {
  const result = GROUP_SCHEMA.safeParse(value);
  if (!result.success) throw toStepError("group", result.error);
  return result.data.records;
}

/**
 * Packs `records` by kind into groups whose JSON is at most `maxBytes` long.
 * Throws a `StepError` if a single record is larger.
 */
export function buildRecordGroups(
  records: readonly unknown[],
  maxBytes: number = MAX_GROUP_BYTES,
): RecordGroup[] {
  const byKind = new Map<string, unknown[]>();
  for (const record of records) {
    const kind = readKind(record);
    const list = byKind.get(kind) ?? [];
    list.push(record);
    byKind.set(kind, list);
  }
  return [...byKind]
    .sort(([left], [right]) => compareStrings(left, right))
    .flatMap(([kind, list]) => buildKindGroups(list, { kind, maxBytes }));
}

function buildKindGroups(
  records: readonly unknown[],
  { kind, maxBytes }: { kind: string; maxBytes: number },
): RecordGroup[] {
  const groups: RecordGroup[] = [];
  let freeBytes = 0;
  for (const record of records) {
    const bytes = Buffer.byteLength(JSON.stringify(record)) + 1;
    if (bytes + GROUP_WRAPPER_BYTES > maxBytes) {
      throw new StepError(
        { step: "split_records" },
        `Expected records of less than ${maxBytes} bytes, not ${bytes}`,
      );
    }
    if (bytes > freeBytes) {
      groups.push({ name: `${kind}-${groups.length}`, records: [] });
      freeBytes = maxBytes - GROUP_WRAPPER_BYTES;
    }
    groups.at(-1)?.records.push(record);
    freeBytes -= bytes;
  }
  return groups;
}

function readKind(record: unknown): string {
  const kind = (record as { kind?: unknown } | null)?.kind;
  const isName = typeof kind === "string" && GROUP_NAME_PATTERN.test(kind);
  return isName ? kind : "unknown";
}

function toStepError(value: "index" | "group", error: z.ZodError): StepError {
  const issue = error.issues[0];
  const path = formatPath(issue?.path ?? []);
  return new StepError(
    { step: `read_${value}` },
    `${VALUE_LABELS[value]}: ${path}: expected ${issue?.message}`,
  );
}
