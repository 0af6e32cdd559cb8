/**
 * The steps from one accepted content of the records to the next.
 *
 * A change touches few records of many. Handed on whole, each change would cost
 * every VM all records' bytes, several times what control may take in a large
 * fleet; so peers hand on the steps that the asker is missing.
 *
 * @module
 */
import type { ConfigurationDelta, RecordSplice } from "./peer_api.ts";

/** Steps kept, and records in all of them. */
const MAX_STEPS = 64;
const MAX_STEP_RECORDS = 2_000;
/** A step that replaces more of the records than this is not kept. */
const MAX_SHARE = 0.5;
const MAX_RECORDS = 100_000;

/** Records with their digest. */
export interface Content {
  records: unknown[];
  digest: string;
}

/** The latest steps, oldest first, each from the digest that it needs. */
export class DeltaHistory {
  #steps: ConfigurationDelta[] = [];

  static create(): DeltaHistory {
    return new DeltaHistory();
  }

  /** Notes that `to` replaced `from`. */
  add(from: Content, to: Content): void {
    const splices = computeSplices(from.records, to.records);
    const count = splices.reduce((sum, { add }) => sum + add.length, 0);
    // Without the step the chain is broken; those before it lead nowhere.
    const isLarge = count > MAX_SHARE * to.records.length;
    if (isLarge || count > MAX_STEP_RECORDS) {
      this.#steps = [];
      return;
    }
    this.#steps.push({ from: from.digest, to: to.digest, splices });
    this.#dropOld();
  }

  /** The steps from `digest` to the newest content, if all are held. */
  listFrom(digest: string): ConfigurationDelta[] | undefined {
    // The latest one counts: contents of one version can go to and fro.
    const first = this.#steps.findLastIndex((step) => step.from === digest);
    return first < 0 ? undefined : this.#steps.slice(first);
  }

  #dropOld(): void {
    let left = MAX_STEP_RECORDS;
    let keep = 0;
    for (const step of this.#steps.toReversed()) {
      left -= step.splices.reduce((sum, { add }) => sum + add.length, 0);
      if (left < 0 || keep >= MAX_STEPS) break;
      keep += 1;
    }
    this.#steps = this.#steps.slice(this.#steps.length - keep);
  }
}

/**
 * The records after `steps` and the digest that they should have; undefined
 * where the steps do not fit what is there. They come from another VM, so
 * nothing of their shape is taken for granted.
 */
export function applyDeltas(
  content: Content,
  steps: unknown,
): Content | undefined {
  if (!Array.isArray(steps) || steps.length === 0) return undefined;
  let { digest } = content;
  let records = [...content.records];
  for (const step of steps as Partial<ConfigurationDelta>[]) {
    if (step?.from !== digest || typeof step.to !== "string") return undefined;
    const next = applySplices(records, step.splices);
    if (next === undefined) return undefined;
    records = next;
    digest = step.to;
  }
  return { records, digest };
}

/** `records` with each that stands in `known` too replaced by that object. */
export function mergeRecords(
  known: readonly unknown[],
  records: readonly unknown[],
): unknown[] {
  const { start, end } = findMiddle(known, records);
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

/** What turns `from` into `to`, from the last place to the first. */
function computeSplices(
  from: readonly unknown[],
  to: readonly unknown[],
): RecordSplice[] {
  const { start, end } = findMiddle(from, to);
  const removed = from.length - end - start;
  const added = to.slice(start, to.length - end);
  if (removed !== added.length) {
    return [{ at: start, remove: removed, add: added }];
  }
  return added
    .map((record, index) => ({ at: start + index, remove: 1, add: [record] }))
    .filter(({ at, add: [record] }) => !isSame(from[at], record));
}

/** How many records are the same at the start and at the end. */
function findMiddle(
  from: readonly unknown[],
  to: readonly unknown[],
): { start: number; end: number } {
  const most = Math.min(from.length, to.length);
  let start = 0;
  while (start < most && isSame(from[start], to[start])) start += 1;
  let end = 0;
  while (
    end < most - start &&
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
    const fits = Number.isSafeInteger(at) && Number.isSafeInteger(remove) &&
      at! >= 0 && remove! >= 0 && at! + remove! <= next.length &&
      Array.isArray(add) && next.length + add.length <= MAX_RECORDS;
    if (!fits) return undefined;
    next.splice(at!, remove!, ...add!);
  }
  return next;
}
