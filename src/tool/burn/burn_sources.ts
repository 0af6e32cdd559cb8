/**
 * What a burn report is made of: the figures of VMs, each with the life of the
 * process that they come from, and how two samples of one life are joined.
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

/** A span of the past, in milliseconds before some moment. */
export interface PastSpan {
  fromAgoMs: number;
  toAgoMs: number;
}

/** The figures of one incarnation of one VM. */
export interface BurnSource {
  vm: string;
  incarnation: string;
  /** Calendar time of the sample, by the clock of the tool's machine. */
  gatheredAtMs: number;
  series: BurnSeries;
  /** What the figures cover, before `gatheredAtMs`. */
  spans: PastSpan[];
}

/** A VM that gave no figures, and why. */
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
  /** Objectives of single workspaces, by name. */
  workspaces: ReadonlyMap<string, number>;
}

/** The figures of one moment. */
export interface BurnSample {
  gatheredAtMs: number;
  sources: BurnSource[];
  missing: MissingVm[];
  objectives: ClassObjective[];
}

/** What `series` covers, as a source's spans. */
export function buildSpans(series: BurnSeries): PastSpan[] {
  return [{ fromAgoMs: series.reachMs, toAgoMs: 0 }];
}

/** Names one life of a process. */
export function formatLifeKey(
  life: Pick<BurnSource, "vm" | "incarnation">,
): string {
  return JSON.stringify([life.vm, life.incarnation]);
}

/**
 * Joins samples of the same incarnation. The counts of a bucket only grow
 * during a process's life, so the larger of two counts of the same bucket holds
 * all that the smaller does: nothing is counted twice, in whatever order and
 * however often sources are joined. Histograms are the newest sample's alone,
 * since two of them cannot be told apart by time.
 */
export function mergeLife(sources: readonly BurnSource[]): BurnSource {
  const ordered = sources.toSorted(compareNewestFirst);
  const newest = ordered[0]!;
  if (ordered.length === 1) return newest;
  const shifts = ordered.map((source) => computeLifeShift(newest, source));
  const groups = new Map<string, JoinPart[]>();
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

/** Spans in order, those that touch made into one. */
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

/** How much of the last `windowMs` the spans cover. */
export function computeHeld(
  spans: readonly PastSpan[],
  windowMs: number,
): number {
  return mergeSpans(spans).reduce((sum, span) => {
    const from = Math.min(span.fromAgoMs, windowMs);
    const to = Math.min(Math.max(span.toAgoMs, 0), windowMs);
    return sum + Math.max(0, from - to);
  }, 0);
}

/** The span as seen from `shiftMs` later. */
export function applySpanShift(span: PastSpan, shiftMs: number): PastSpan {
  return {
    fromAgoMs: span.fromAgoMs + shiftMs,
    toAgoMs: span.toAgoMs + shiftMs,
  };
}

/** The buckets as seen from `slots` buckets later. */
export function applyBucketShift(
  buckets: BurnBuckets,
  options: { slots: number; depth?: number },
): BurnBuckets {
  const byAgo = new Map<number, BurnCounts>();
  addShifted(byAgo, buckets, options);
  return buildBuckets(buckets.widthMs, byAgo);
}

/** How much older one sample of a life is than another. */
interface LifeShift {
  exactMs: number;
  fineSlots: number;
  coarseSlots: number;
}

interface JoinPart {
  entry: BurnEntry;
  shift: LifeShift;
  isNewest: boolean;
}

function compareNewestFirst(left: BurnSource, right: BurnSource): number {
  const byAge = right.series.gatheredMs - left.series.gatheredMs ||
    right.gatheredAtMs - left.gatheredAtMs;
  if (byAge !== 0) return byAge;
  // Any fixed order will do, so long as it is not that of the files.
  const [leftText, rightText] = [JSON.stringify(left), JSON.stringify(right)];
  return compareStrings(leftText, rightText);
}

/**
 * Slots start at multiples of their width on the VM's own clock, so the time
 * that a slot began, counted in the process's life, is the same in every
 * sample. Calendar time would not do: the clocks of two machines that save
 * reports may differ by more than a bucket.
 */
function computeLifeShift(newest: BurnSource, older: BurnSource): LifeShift {
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

function mergeEntries(parts: readonly JoinPart[]): BurnEntry {
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
  const joined = new Map<number, BurnCounts>();
  for (const { buckets, slots, depth } of parts) {
    const byAgo = new Map<number, BurnCounts>();
    addShifted(byAgo, buckets, {
      slots,
      ...(depth !== undefined && { depth }),
    });
    for (const [ago, counts] of byAgo) {
      const known = joined.get(ago) ?? createCounts();
      for (const result of RESULTS) {
        known[result] = Math.max(known[result], counts[result]);
      }
      joined.set(ago, known);
    }
  }
  return buildBuckets(parts[0]!.buckets.widthMs, joined);
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

function mergeCauses(parts: readonly JoinPart[]): BurnCause[] {
  const joined = new Map<string, BurnCause>();
  for (const { entry, isNewest } of parts) {
    for (const cause of entry.causes) {
      const { result, step, pool, upstream } = cause;
      const key = JSON.stringify([result, step, pool, upstream]);
      const known = joined.get(key);
      // The last hour of an older sample is not that of the newest.
      const lastHour = isNewest ? cause.lastHour : known?.lastHour ?? 0;
      const examples = new Set([...known?.examples ?? [], ...cause.examples]);
      joined.set(key, {
        ...cause,
        lastHour,
        total: Math.max(known?.total ?? 0, cause.total),
        examples: [...examples].slice(0, MAX_EXAMPLES),
      });
    }
  }
  return [...joined.values()].sort(compareCauses);
}
