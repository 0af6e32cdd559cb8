/**
 * Deltas between accepted versions of the configuration's records.
 *
 * An update changes few of many records. Sending all records to every VM at
 * each update would take several times the bandwidth allowed for control
 * traffic in a large fleet, so peers send the deltas that the requester lacks.
 *
 * @module
 */
import type { ConfigurationDelta, RecordSplice } from "./peer_api.ts";

/** Maximum number of stored deltas, and of records in all of them. */
const MAX_DELTAS = 64;
const MAX_DELTA_RECORDS = 2_000;
/** A delta that replaces a larger share of the records is not stored. */
const MAX_CHANGED_SHARE = 0.5;
const MAX_RECORDS = 100_000;

/** Records of a configuration and their digest. */
export interface Content {
  records: unknown[];
  digest: string;
}

/** The latest deltas, oldest first; each applies to one digest. */
export class DeltaHistory {
  #deltas: ConfigurationDelta[] = [];

  static create(): DeltaHistory {
    return new DeltaHistory();
  }

  /** Adds the delta from `from` to `to`. */
  add(from: Content, to: Content): void {
    const splices = computeSplices(from.records, to.records);
    const count = splices.reduce((sum, { add }) => sum + add.length, 0);
    // Without this delta the chain is broken, and the older ones are useless.
    const isLarge = count > MAX_CHANGED_SHARE * to.records.length;
    if (isLarge || count > MAX_DELTA_RECORDS) {
      this.#deltas = [];
      return;
    }
    this.#deltas.push({ from: from.digest, to: to.digest, splices });
    this.#dropOld();
  }

  /** Lists the deltas from `digest` to the newest content, if stored. */
  listFrom(digest: string): ConfigurationDelta[] | undefined {
    // A content can become active twice if a version is published repeatedly,
    // so the chain starts at its latest delta.
    const first = this.#deltas.findLastIndex((delta) => delta.from === digest);
    return first < 0 ? undefined : this.#deltas.slice(first);
  }

  #dropOld(): void {
    let remaining = MAX_DELTA_RECORDS;
    let keep = 0;
    for (const delta of this.#deltas.toReversed()) {
      remaining -= delta.splices.reduce((sum, { add }) => sum + add.length, 0);
      if (remaining < 0 || keep >= MAX_DELTAS) break;
      keep += 1;
    }
    this.#deltas = this.#deltas.slice(this.#deltas.length - keep);
  }
}

/**
 * Applies deltas. Returns the resulting records and the digest stated for them,
 * or undefined if the deltas do not apply. They come from another VM, so their
 * shape is checked.
 */
export function applyDeltas(
  content: Content,
  deltas: unknown,
): Content | undefined {
  if (!Array.isArray(deltas) || deltas.length === 0) return undefined;
  let { digest } = content;
  let records = [...content.records];
  for (const delta of deltas as Partial<ConfigurationDelta>[]) {
    if (delta?.from !== digest || typeof delta.to !== "string") {
      return undefined;
    }
    const next = applySplices(records, delta.splices);
    if (next === undefined) return undefined;
    records = next;
    digest = delta.to;
  }
  return { records, digest };
}

/** Returns `records` with the equal objects of `known` reused. */
export function mergeRecords(
  known: readonly unknown[],
  records: readonly unknown[],
): unknown[] {
  const { start, end } = countCommonEnds(known, records);
  const length = known.length - end - start;
  const isSameLength = records.length - end - start === length;
  return records.map((record, index) => {
    if (index < start) return known[index];
    if (index >= records.length - end) {
      return known[index + known.length - records.length];
    }
    const candidate = known[index];
    return isSameLength && isSame(candidate, record) ? candidate : record;
  });
}

/** Computes the splices that convert `from` into `to`. */
function computeSplices(
  from: readonly unknown[],
  to: readonly unknown[],
): RecordSplice[] {
  const { start, end } = countCommonEnds(from, to);
  const removed = from.length - end - start;
  const added = to.slice(start, to.length - end);
  if (removed !== added.length) {
    return [{ at: start, remove: removed, add: added }];
  }
  return added
    .map((record, index) => ({ at: start + index, remove: 1, add: [record] }))
    .filter(({ at, add: [record] }) => !isSame(from[at], record));
}

/** Counts the equal records at the start and at the end. */
function countCommonEnds(
  from: readonly unknown[],
  to: readonly unknown[],
): { start: number; end: number } {
  const max = Math.min(from.length, to.length);
  let start = 0;
  while (start < max && isSame(from[start], to[start])) start += 1;
  let end = 0;
  while (
    end < max - start &&
    isSame(from[from.length - 1 - end], to[to.length - 1 - end])
  ) end += 1;
  return { start, end };
}

function isSame(left: unknown, right: unknown): boolean {
  return left === right || JSON.stringify(left) === JSON.stringify(right);
}

function applySplices(
  records: unknown[],
  splices: readonly RecordSplice[] | undefined,
): unknown[] | undefined {
  if (!Array.isArray(splices)) return undefined;
  const next = [...records];
  for (const splice of splices as Partial<RecordSplice>[]) {
    const { at, remove, add } = splice ?? {};
    const isApplicable = Number.isSafeInteger(at) &&
      Number.isSafeInteger(remove) &&
      at! >= 0 && remove! >= 0 && at! + remove! <= next.length &&
      Array.isArray(add) && next.length + add.length <= MAX_RECORDS;
    if (!isApplicable) return undefined;
    next.splice(at!, remove!, ...add!);
  }
  return next;
}
