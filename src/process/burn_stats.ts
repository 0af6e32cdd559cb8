/**
 * The figures behind the report on service-level burn: what each VM gathers,
 * sends and merges. Times are ages, counted in buckets back from the moment of
 * sampling: the VMs' clocks need not agree. Merging VMs is therefore off by up
 * to one bucket.
 *
 * @module
 */
import { z } from "zod";
import { compareStrings } from "../version/record_problem.ts";
import { mergeEncoded } from "./latency_histogram.ts";

/** Width of the buckets of the last hour. */
export const FINE_BUCKET_MS = 10_000;
/** Buckets of the last hour. */
export const FINE_BUCKETS = 360;
/** Width of the buckets of the last three days. */
export const COARSE_BUCKET_MS = 300_000;
/** Buckets of the last three days. */
export const COARSE_BUCKETS = 864;

/** Example request ids that are kept for each cause. */
export const MAX_EXAMPLES = 3;

const FORMAT_VERSION = 1;
const COUNTS = z.array(z.int().nonnegative());

const BUCKETS_SCHEMA = z.object({
  widthMs: z.int().positive(),
  /** How many buckets ago; 0 is the one that was not over yet. */
  ago: COUNTS,
  met: COUNTS,
  late: COUNTS,
  refused: COUNTS,
  lost: COUNTS,
  cancelled: COUNTS,
}).refine(
  (buckets) =>
    RESULTS.every((result) => buckets[result].length === buckets.ago.length),
  "columns of one length",
);

const CAUSE_SCHEMA = z.object({
  result: z.enum(["late", "refused", "lost"]),
  step: z.string(),
  pool: z.string(),
  upstream: z.string(),
  /** Requests in the last hour, and in all that is held. */
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
  /** Of the last hour, as `LatencyHistogram.encode` writes them. */
  firstToken: z.string(),
  total: z.string(),
  tokens: z.int().nonnegative(),
  wastedTokens: z.int().nonnegative(),
});

const SERIES_SCHEMA = z.object({
  formatVersion: z.literal(FORMAT_VERSION),
  /** How long the VM has gathered; the longest where several are merged. */
  gatheredMs: z.number().nonnegative(),
  /** How far back the buckets reach: less than `gatheredMs` where some fell
   * to the bound on memory. */
  reachMs: z.number().nonnegative(),
  /** As `reachMs`, for the buckets of the last hour; of one VM only. */
  fineReachMs: z.number().nonnegative().optional(),
  /** Age of the start of the coarse bucket that was not over yet: tells which
   * buckets of two samples of one VM are the same; of one VM only. */
  phaseMs: z.number().nonnegative().optional(),
  entries: z.array(ENTRY_SCHEMA),
});

/** How a request ended, for the budget. */
export type BurnResult = "met" | "late" | "refused" | "lost" | "cancelled";
/** Every result, in the order of the columns. */
export const RESULTS: readonly BurnResult[] = [
  "met",
  "late",
  "refused",
  "lost",
  "cancelled",
];
/** Counts of one width, a column for each result. */
export type BurnBuckets = z.infer<typeof BUCKETS_SCHEMA>;
/** Why part of a budget burnt. */
export type BurnCause = z.infer<typeof CAUSE_SCHEMA>;
/** Everything about one class of one workspace. */
export type BurnEntry = z.infer<typeof ENTRY_SCHEMA>;
/** The figures of one VM, or of several merged. */
export type BurnSeries = z.infer<typeof SERIES_SCHEMA>;

/** Counts by result over a span of time. */
export type BurnCounts = Record<BurnResult, number>;

/** Figures with nothing in them. */
export function createSeries(): BurnSeries {
  return {
    formatVersion: FORMAT_VERSION,
    gatheredMs: 0,
    reachMs: 0,
    entries: [],
  };
}

/**
 * Checks figures that came from elsewhere; undefined where they are of another
 * form, for example of a VM that runs another release.
 */
export function parseSeries(value: unknown): BurnSeries | undefined {
  return SERIES_SCHEMA.safeParse(value).data;
}

/** Merges the figures of several VMs, gathered at one moment. */
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

/** Sums the buckets of the last `windowMs`. */
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

/** Buckets from counts by how many buckets ago they were. */
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

/** Counts that are all 0. */
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

/** Orders causes by how much they burn, the worst first. */
export function compareCauses(left: BurnCause, right: BurnCause): number {
  return right.lastHour - left.lastHour || right.total - left.total ||
    compareStrings(left.step, right.step);
}

function computeSum<T>(items: readonly T[], read: (item: T) => number): number {
  return items.reduce((sum, item) => sum + read(item), 0);
}
