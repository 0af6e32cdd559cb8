/**
 * Statistics for the error budget report: each VM collects its own, and the
 * report merges them. Times are ages in buckets, counted back from the time of
 * sampling, so that the VMs' clocks need not agree. Merging is therefore inexact
 * by up to one bucket.
 *
 * @module
 */
import { z } from "zod";
import { compareStrings } from "../version/record_problem.ts";
import { mergeEncoded } from "./latency_histogram.ts";

/** Width of the fine buckets, which cover the last hour. */
export const FINE_BUCKET_MS = 10_000;
/** Number of fine buckets. */
export const FINE_BUCKETS = 360;
/** Width of the coarse buckets, which cover the last three days. */
export const COARSE_BUCKET_MS = 300_000;
/** Number of coarse buckets. */
export const COARSE_BUCKETS = 864;

/** Maximum number of example request ids for each cause. */
export const MAX_EXAMPLES = 3;

const FORMAT_VERSION = 1;
const COUNTS = z.array(z.int().nonnegative());

const BUCKETS_SCHEMA = z.object({
  widthMs: z.int().positive(),
  /** Ages in buckets; 0 is the bucket that was not complete yet. */
  ago: COUNTS,
  met: COUNTS,
  late: COUNTS,
  refused: COUNTS,
  lost: COUNTS,
  cancelled: COUNTS,
}).refine(
  (buckets) =>
    RESULTS.every((result) => buckets[result].length === buckets.ago.length),
  "columns of equal length",
);

const CAUSE_SCHEMA = z.object({
  result: z.enum(["late", "refused", "lost"]),
  step: z.string(),
  pool: z.string(),
  upstream: z.string(),
  /** Number of requests in the last hour, and in total. */
  lastHour: z.int().nonnegative(),
  total: z.int().nonnegative(),
  /** Newest first. */
  examples: z.array(z.string()).max(MAX_EXAMPLES),
});

const ENTRY_SCHEMA = z.object({
  workspace: z.string(),
  className: z.string(),
  fine: BUCKETS_SCHEMA,
  coarse: BUCKETS_SCHEMA,
  causes: z.array(CAUSE_SCHEMA),
  /** Of the last hour, encoded by `LatencyHistogram.encode`. */
  firstToken: z.string(),
  total: z.string(),
  tokens: z.int().nonnegative(),
  wastedTokens: z.int().nonnegative(),
});

const SERIES_SCHEMA = z.object({
  formatVersion: z.literal(FORMAT_VERSION),
  /** Time since the VM began to record; the longest if several are merged. */
  gatheredMs: z.number().nonnegative(),
  /**
   * How far back the buckets are complete: less than `gatheredMs` if some were
   * dropped to bound memory.
   */
  reachMs: z.number().nonnegative(),
  /** As `reachMs`, for the fine buckets; only for a single VM. */
  fineReachMs: z.number().nonnegative().optional(),
  /**
   * Age of the start of the incomplete coarse bucket, which aligns the buckets
   * of two samples of a VM; only for a single VM.
   */
  phaseMs: z.number().nonnegative().optional(),
  entries: z.array(ENTRY_SCHEMA),
});

/** Result of a request, as it counts for the error budget. */
export type BurnResult = "met" | "late" | "refused" | "lost" | "cancelled";
/** All results, in the order of the columns. */
export const RESULTS: readonly BurnResult[] = [
  "met",
  "late",
  "refused",
  "lost",
  "cancelled",
];
/** Counts in buckets of one width, with a column for each result. */
export type BurnBuckets = z.infer<typeof BUCKETS_SCHEMA>;
/** A cause of missed objectives. */
export type BurnCause = z.infer<typeof CAUSE_SCHEMA>;
/** Statistics of one class of one workspace. */
export type BurnEntry = z.infer<typeof ENTRY_SCHEMA>;
/** Statistics of one VM, or of several merged. */
export type BurnSeries = z.infer<typeof SERIES_SCHEMA>;

/** Counts by result over a period. */
export type BurnCounts = Record<BurnResult, number>;

/** Creates empty statistics. */
export function createSeries(): BurnSeries {
  return {
    formatVersion: FORMAT_VERSION,
    gatheredMs: 0,
    reachMs: 0,
    entries: [],
  };
}

/**
 * Parses received statistics; undefined if they have another format, for
 * example that of a VM with another release.
 */
export function parseSeries(value: unknown): BurnSeries | undefined {
  return SERIES_SCHEMA.safeParse(value).data;
}

/** Merges the statistics of several VMs, sampled at the same time. */
export function mergeSeries(parts: readonly BurnSeries[]): BurnSeries {
  const merged = createSeries();
  const groups = new Map<string, BurnEntry[]>();
  for (const part of parts) {
    merged.gatheredMs = Math.max(merged.gatheredMs, part.gatheredMs);
    merged.reachMs = Math.max(merged.reachMs, part.reachMs);
    for (const entry of part.entries) {
      const key = JSON.stringify([entry.workspace, entry.className]);
      const group = groups.get(key) ?? [];
      group.push(entry);
      groups.set(key, group);
    }
  }
  merged.entries = [...groups.keys()].sort()
    .map((key) => mergeEntries(groups.get(key)!));
  return merged;
}

/** Sums the buckets of the last `windowMs` milliseconds. */
export function countWindow(entry: BurnEntry, windowMs: number): BurnCounts {
  const isFine = windowMs <= FINE_BUCKETS * FINE_BUCKET_MS;
  const buckets = isFine ? entry.fine : entry.coarse;
  const counts = createCounts();
  buckets.ago.forEach((ago, index) => {
    if (ago * buckets.widthMs >= windowMs) return;
    for (const result of RESULTS) counts[result] += buckets[result][index]!;
  });
  return counts;
}

function mergeEntries(group: readonly BurnEntry[]): BurnEntry {
  const first = group[0]!;
  return {
    workspace: first.workspace,
    className: first.className,
    fine: mergeBuckets(group.map((entry) => entry.fine)),
    coarse: mergeBuckets(group.map((entry) => entry.coarse)),
    causes: mergeCauses(group.flatMap((entry) => entry.causes)),
    firstToken: mergeEncoded(group.map((entry) => entry.firstToken)),
    total: mergeEncoded(group.map((entry) => entry.total)),
    tokens: computeSum(group, (entry) => entry.tokens),
    wastedTokens: computeSum(group, (entry) => entry.wastedTokens),
  };
}

/** Builds buckets from counts by age in buckets. */
export function buildBuckets(
  widthMs: number,
  countsByAgo: ReadonlyMap<number, BurnCounts>,
): BurnBuckets {
  const ago = [...countsByAgo.keys()].sort((left, right) => left - right);
  const rows = ago.map((key) => countsByAgo.get(key)!);
  return {
    widthMs,
    ago,
    met: rows.map((row) => row.met),
    late: rows.map((row) => row.late),
    refused: rows.map((row) => row.refused),
    lost: rows.map((row) => row.lost),
    cancelled: rows.map((row) => row.cancelled),
  };
}

function mergeBuckets(parts: readonly BurnBuckets[]): BurnBuckets {
  const sums = new Map<number, BurnCounts>();
  for (const part of parts) {
    part.ago.forEach((ago, index) => {
      const sum = sums.get(ago) ?? createCounts();
      for (const result of RESULTS) sum[result] += part[result][index]!;
      sums.set(ago, sum);
    });
  }
  return buildBuckets(parts[0]!.widthMs, sums);
}

/** Creates counts that are all 0. */
export function createCounts(): BurnCounts {
  return { met: 0, late: 0, refused: 0, lost: 0, cancelled: 0 };
}

function mergeCauses(causes: readonly BurnCause[]): BurnCause[] {
  const merged = new Map<string, BurnCause>();
  for (const cause of causes) {
    const { result, step, pool, upstream } = cause;
    const key = JSON.stringify([result, step, pool, upstream]);
    const known = merged.get(key);
    if (known === undefined) {
      merged.set(key, { ...cause, examples: [...cause.examples] });
      continue;
    }
    known.lastHour += cause.lastHour;
    known.total += cause.total;
    known.examples = [...known.examples, ...cause.examples]
      .slice(0, MAX_EXAMPLES);
  }
  return [...merged.values()].sort(compareCauses);
}

/** Compares causes by their number of requests, the most frequent first. */
export function compareCauses(left: BurnCause, right: BurnCause): number {
  return right.lastHour - left.lastHour || right.total - left.total ||
    compareStrings(left.step, right.step);
}

function computeSum<T>(items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}
