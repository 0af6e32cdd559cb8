/**
 * What was worked out of each published record, kept as long as the record.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type ParsedRecord, parseRecord } from "../version/index.ts";

const DIGEST_LENGTH = 16;

/**
 * Texts and parsed forms by the record's object, which is never changed.
 *
 * A change touches few records of many. Worked out anew at each change, the
 * texts and checks of all would hold the process for a tenth of a second at
 * some thousand records, and no stream goes on meanwhile.
 */
export class RecordMemory {
  readonly #parsed = new WeakMap<object, ParsedRecord>();
  readonly #texts = new WeakMap<object, string>();

  static create(): RecordMemory {
    return new RecordMemory();
  }

  /** What `parseRecord` gives. */
  parse(record: unknown): ParsedRecord {
    return getOrBuild(this.#parsed, record, parseRecord);
  }

  /** What `computeDigest` gives. */
  computeDigest(records: readonly unknown[]): string {
    const texts = records.map((record) => {
      return getOrBuild(this.#texts, record, formatRecord);
    });
    return computeTextDigest(`[${texts.join(",")}]`);
  }
}

/** A short digest of records as published, in their published order. */
export function computeDigest(records: readonly unknown[]): string {
  return computeTextDigest(JSON.stringify(records));
}

function getOrBuild<T>(
  known: WeakMap<object, T>,
  record: unknown,
  build: (record: unknown) => T,
): T {
  if (typeof record !== "object" || record === null) return build(record);
  const kept = known.get(record);
  if (kept !== undefined) return kept;
  const built = build(record);
  known.set(record, built);
  return built;
}

/** As it stands in the text of a list. */
function formatRecord(record: unknown): string {
  return JSON.stringify(record) ?? "null";
}

function computeTextDigest(text: string): string {
  const hash = createHash("sha256").update(text);
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}
