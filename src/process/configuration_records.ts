/**
 * Cache of the parsed form and JSON text of published records.
 *
 * @module
 */
import { createHash } from "node:crypto";
import { type ParsedRecord, parseRecord } from "../version/index.ts";

const DIGEST_LENGTH = 16;

/**
 * JSON texts and parsed forms by record object. Record objects are immutable.
 *
 * An update changes few of many records. Without the cache, every update would
 * serialize and validate all of them: with some thousand records this blocks
 * the event loop, and so every stream, for about 100 ms.
 */
export class RecordCache {
  readonly #parsed = new WeakMap<object, ParsedRecord>();
  readonly #texts = new WeakMap<object, string>();

  static create(): RecordCache {
    return new RecordCache();
  }

  /** Cached `parseRecord`. */
  parse(record: unknown): ParsedRecord {
    return getOrBuild(this.#parsed, record, parseRecord);
  }

  /** Returns the same as `computeDigest`, from cached texts. */
  computeDigest(records: readonly unknown[]): string {
    const texts = records.map((record) => {
      return getOrBuild(this.#texts, record, formatRecord);
    });
    return computeTextDigest(`[${texts.join(",")}]`);
  }
}

/** Computes a short digest of records, in their published order. */
export function computeDigest(records: readonly unknown[]): string {
  return computeTextDigest(JSON.stringify(records));
}

function getOrBuild<T>(
  cache: WeakMap<object, T>,
  record: unknown,
  build: (record: unknown) => T,
): T {
  if (typeof record !== "object" || record === null) return build(record);
  const cached = cache.get(record);
  if (cached !== undefined) return cached;
  const built = build(record);
  cache.set(record, built);
  return built;
}

/** Formats a record as `JSON.stringify` does in an array. */
function formatRecord(record: unknown): string {
  return JSON.stringify(record) ?? "null";
}

function computeTextDigest(text: string): string {
  const hash = createHash("sha256").update(text);
  return hash.digest("hex").slice(0, DIGEST_LENGTH);
}
