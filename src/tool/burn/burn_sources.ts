/**
 * Input of a burn report: the figures of VMs by incarnation, and the merging of
 * several samples of one incarnation.
 *
 * @module
 */
import {
  buildBuckets,
  type BurnBuckets,
  type BurnCause,
  type BurnCounts,
  type BurnEntry,
  type BurnSeries,
  COARSE_BUCKET_MS,
  compareCauses,
  createCounts,
  FINE_BUCKET_MS,
  FINE_BUCKETS,
  MAX_EXAMPLES,
  RESULTS,
} from "../../process/burn_stats.ts";
import { compareStrings } from "../../version/record_problem.ts";

/** A past time span, in milliseconds before a reference time. */
export interface PastSpan {
  fromAgoMs: number;
  toAgoMs: number;
}

/** The figures of one incarnation of one VM. */
export interface BurnSource {
  vm: string;
  incarnation: string;
  /** Wall-clock time of the sample, by the clock of the tool's machine. */
  gatheredAtMs: number;
  series: BurnSeries;
  /** Time that the figures cover, relative to `gatheredAtMs`. */
  spans: PastSpan[];
}

/** A VM whose figures could not be collected, and why. */
export interface MissingVm {
  vm: string;
  why: string;
  gatheredAtMs: number;
}

/** The objectives of one class. */
export interface ClassObjective {
  className: string;
  tier: string;
  objective: number;
  /** Objectives of individual workspaces by name. */
  workspaces: ReadonlyMap<string, number>;
}

/** The figures of all VMs at one time. */
export interface BurnSample {
  gatheredAtMs: number;
  sources: BurnSource[];
  missing: MissingVm[];
  objectives: ClassObjective[];
}

/** Returns the time that `series` covers. */
export function buildSpans(series: BurnSeries): PastSpan[] {
  return [{ fromAgoMs: series.reachMs, toAgoMs: 0 }];
}

/** Formats a map key for one incarnation of a VM. */
export function formatIncarnationKey(
  source: Pick<BurnSource, "vm" | "incarnation">,
): string {
  return JSON.stringify([source.vm, source.incarnation]);
}

/**
 * Merges samples of the same incarnation. Counts of a bucket never decrease
 * during an incarnation, so the larger of two counts of a bucket includes the
 * smaller one. Taking the maximum counts nothing twice, regardless of order and
 * repetition. Histograms are taken from the newest sample only: they do not
 * record times, so overlaps cannot be removed.
 */
export function mergeIncarnation(sources: readonly BurnSource[]): BurnSource {
  const ordered = sources.toSorted(compareNewestFirst);
  const newest = ordered[0]!;
  if (ordered.length === 1) return newest;
  const shifts = ordered.map((source) => computeSampleShift(newest, source));
  const groups = new Map<string, MergePart[]>();
  ordered.forEach((source, index) => {
    for (const entry of source.series.entries) {
      const key = JSON.stringify([entry.workspace, entry.className]);
      const group = groups.get(key) ?? [];
      group.push({ entry, shift: shifts[index]!, isNewest: index === 0 });
      groups.set(key, group);
    }
  });
  const spans = ordered.flatMap((source, index) =>
    source.spans.map((span) => applySpanShift(span, shifts[index]!.exactMs))
  );
  return {
    ...newest,
    spans: mergeSpans(spans),
    series: {
      ...newest.series,
      entries: [...groups.keys()].sort().map((key) =>
        mergeEntries(groups.get(key)!)
      ),
    },
  };
}

/** Sorts spans and merges those that overlap or touch. */
export function mergeSpans(spans: readonly PastSpan[]): PastSpan[] {
  const merged: PastSpan[] = [];
  const ordered = spans.toSorted((left, right) =>
    left.toAgoMs - right.toAgoMs || left.fromAgoMs - right.fromAgoMs
  );
  for (const span of ordered) {
    const last = merged.at(-1);
    if (last !== undefined && span.toAgoMs <= last.fromAgoMs) {
      last.fromAgoMs = Math.max(last.fromAgoMs, span.fromAgoMs);
    } else {
      merged.push({ ...span });
    }
  }
  return merged;
}

/** Computes how much of the last `windowMs` the spans cover. */
export function computeCoveredMs(
  spans: readonly PastSpan[],
  windowMs: number,
): number {
  return mergeSpans(spans).reduce((sum, span) => {
    const from = Math.min(span.fromAgoMs, windowMs);
    const to = Math.min(Math.max(span.toAgoMs, 0), windowMs);
    return sum + Math.max(0, from - to);
  }, 0);
}

/** Moves the reference time of a span forward by `shiftMs`. */
export function applySpanShift(span: PastSpan, shiftMs: number): PastSpan {
  return {
    fromAgoMs: span.fromAgoMs + shiftMs,
    toAgoMs: span.toAgoMs + shiftMs,
  };
}

/** Moves the reference time of buckets forward by `slots` buckets. */
export function applyBucketShift(
  buckets: BurnBuckets,
  options: { slots: number; depth?: number },
): BurnBuckets {
  const byAgo = new Map<number, BurnCounts>();
  addShifted(byAgo, buckets, options);
  return buildBuckets(buckets.widthMs, byAgo);
}

/** Age difference between two samples of one incarnation. */
interface SampleShift {
  exactMs: number;
  fineSlots: number;
  coarseSlots: number;
}

interface MergePart {
  entry: BurnEntry;
  shift: SampleShift;
  isNewest: boolean;
}

function compareNewestFirst(left: BurnSource, right: BurnSource): number {
  const byAge = right.series.gatheredMs - left.series.gatheredMs ||
    right.gatheredAtMs - left.gatheredAtMs;
  if (byAge !== 0) return byAge;
  // Breaks ties by content, so that the order of the files does not matter.
  const [leftText, rightText] = [JSON.stringify(left), JSON.stringify(right)];
  return compareStrings(leftText, rightText);
}

/**
 * Computes the shift from times relative to the start of the process. Buckets
 * start at multiples of their width on the VM's own clock, so these times are
 * the same in every sample. Wall-clock times cannot be used: the clocks of two
 * machines that save reports may differ by more than a bucket.
 */
function computeSampleShift(
  newest: BurnSource,
  older: BurnSource,
): SampleShift {
  return {
    exactMs: newest.series.gatheredMs - older.series.gatheredMs,
    fineSlots: computeSlots(newest, older, FINE_BUCKET_MS),
    coarseSlots: computeSlots(newest, older, COARSE_BUCKET_MS),
  };
}

function computeSlots(
  newest: BurnSource,
  older: BurnSource,
  widthMs: number,
): number {
  const from = computeSlotStart(older.series, widthMs);
  return Math.round(
    (computeSlotStart(newest.series, widthMs) - from) / widthMs,
  );
}

function computeSlotStart(series: BurnSeries, widthMs: number): number {
  return series.gatheredMs - (series.phaseMs ?? 0) % widthMs;
}

function mergeEntries(parts: readonly MergePart[]): BurnEntry {
  const first = parts[0]!.entry;
  return {
    ...first,
    fine: mergeBuckets(
      parts.map(({ entry, shift }) => ({
        buckets: entry.fine,
        slots: shift.fineSlots,
        depth: FINE_BUCKETS,
      })),
    ),
    coarse: mergeBuckets(
      parts.map(({ entry, shift }) => ({
        buckets: entry.coarse,
        slots: shift.coarseSlots,
      })),
    ),
    causes: mergeCauses(parts),
    tokens: Math.max(...parts.map(({ entry }) => entry.tokens)),
    wastedTokens: Math.max(...parts.map(({ entry }) => entry.wastedTokens)),
  };
}

function mergeBuckets(
  parts: readonly { buckets: BurnBuckets; slots: number; depth?: number }[],
): BurnBuckets {
  const merged = new Map<number, BurnCounts>();
  for (const { buckets, slots, depth } of parts) {
    const byAgo = new Map<number, BurnCounts>();
    addShifted(byAgo, buckets, {
      slots,
      ...(depth !== undefined && { depth }),
    });
    for (const [ago, counts] of byAgo) {
      const known = merged.get(ago) ?? createCounts();
      for (const result of RESULTS) {
        known[result] = Math.max(known[result], counts[result]);
      }
      merged.set(ago, known);
    }
  }
  return buildBuckets(parts[0]!.buckets.widthMs, merged);
}

function addShifted(
  byAgo: Map<number, BurnCounts>,
  buckets: BurnBuckets,
  { slots, depth = Infinity }: { slots: number; depth?: number },
): void {
  buckets.ago.forEach((ago, index) => {
    if (ago + slots >= depth) return;
    const counts = byAgo.get(ago + slots) ?? createCounts();
    for (const result of RESULTS) counts[result] += buckets[result][index]!;
    byAgo.set(ago + slots, counts);
  });
}

function mergeCauses(parts: readonly MergePart[]): BurnCause[] {
  const merged = new Map<string, BurnCause>();
  for (const { entry, isNewest } of parts) {
    for (const cause of entry.causes) {
      const { result, step, pool, upstream } = cause;
      const key = JSON.stringify([result, step, pool, upstream]);
      const known = merged.get(key);
      // The last hour of an older sample differs from that of the newest.
      const lastHour = isNewest ? cause.lastHour : known?.lastHour ?? 0;
      const examples = new Set([...known?.examples ?? [], ...cause.examples]);
      merged.set(key, {
        ...cause,
        lastHour,
        total: Math.max(known?.total ?? 0, cause.total),
        examples: [...examples].slice(0, MAX_EXAMPLES),
      });
    }
  }
  return [...merged.values()].sort(compareCauses);
}
