/**
 * Rows of the burn report: one for each class, and one for each workspace that
 * has its own objective for a class.
 *
 * @module
 */
import {
  type BurnBuckets,
  type BurnCounts,
  type BurnEntry,
  countWindow,
  createCounts,
  createSeries,
  mergeSeries,
  RESULTS,
} from "../../process/burn_stats.ts";
import { LatencyHistogram } from "../../process/latency_histogram.ts";
import { compareStrings } from "../../version/record_problem.ts";
import {
  BURN_RULES,
  type BurnBudget,
  computeBudget,
  computeRule,
  computeWindow,
  type CoveredWindow,
  type RuleResult,
  type WindowBurn,
} from "./burn_rules.ts";
import type { ClassObjective } from "./burn_sources.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const RECENT_STEP_MS = MINUTE_MS;
const RECENT_STEPS = 60;
const MAX_PAST_STEPS = 72;
const MIN_PAST_STEP_MS = HOUR_MS;

/** Counts of one interval of a timeline. */
export interface TimelinePoint {
  fromAgoMs: number;
  toAgoMs: number;
  counts: BurnCounts;
}

/** Percentiles of a duration in milliseconds. */
export interface Percentiles {
  p50: number;
  p95: number;
  p99: number;
}

/** A class, or a workspace that has its own objective for it. */
export interface BurnRow {
  className: string;
  /** Undefined for all workspaces without an objective of their own. */
  workspace: string | undefined;
  /** Undefined if no record defines the class. */
  tier: string | undefined;
  objective: number | undefined;
  windows: WindowBurn[];
  rules: RuleResult[];
  budget: BurnBudget | undefined;
  /** Undefined if no durations were recorded. */
  firstToken: Percentiles | undefined;
  /** Undefined if no durations were recorded. */
  total: Percentiles | undefined;
  tokens: number;
  wastedTokens: number;
  /** Newest first. */
  recent: TimelinePoint[];
  past: TimelinePoint[];
}

/** Input of one row. */
export interface RowGroup {
  className: string;
  workspace: string | undefined;
  tier: string | undefined;
  objective: number | undefined;
  entries: BurnEntry[];
}

/** Groups the entries into rows; classes without requests get one too. */
export function collectRows(
  entries: readonly BurnEntry[],
  objectives: readonly ClassObjective[],
): RowGroup[] {
  const groups = new Map<string, RowGroup>();
  const toKey = (className: string, workspace: string | undefined) =>
    JSON.stringify([className, workspace ?? null]);
  for (const { className, tier, objective, workspaces } of objectives) {
    const shared = { className, tier, entries: [] };
    groups.set(toKey(className, undefined), {
      ...shared,
      workspace: undefined,
      objective,
    });
    for (const [workspace, own] of workspaces) {
      groups.set(toKey(className, workspace), {
        ...shared,
        workspace,
        objective: own,
        entries: [],
      });
    }
  }
  for (const entry of entries) {
    const { className, workspace } = entry;
    const key = toKey(className, undefined);
    const group = groups.get(toKey(className, workspace)) ?? groups.get(key) ??
      {
        className,
        workspace: undefined,
        tier: undefined,
        objective: undefined,
        entries: [],
      };
    group.entries.push(entry);
    if (group.workspace === undefined) groups.set(key, group);
  }
  return [...groups.values()];
}

/** Computes one row. */
export function computeRow(
  group: RowGroup,
  windows: readonly CoveredWindow[],
): BurnRow {
  const { entries, ...names } = group;
  const [entry] = mergeSeries([{
    ...createSeries(),
    // The same name for all entries, so that they are merged into one.
    entries: entries.map((entry) => ({ ...entry, workspace: "" })),
  }]).entries;
  const burns = windows.map(({ name, ms }) =>
    computeWindow(
      entry === undefined ? createCounts() : countWindow(entry, ms),
      {
        name,
        objective: names.objective,
      },
    )
  );
  return {
    ...names,
    windows: burns,
    rules: BURN_RULES.map((rule) =>
      computeRule(rule, { burns, windows, objective: names.objective })
    ),
    budget: computeBudget(burns.at(-1)!, names.objective),
    firstToken: entry && computePercentiles(entry.firstToken),
    total: entry && computePercentiles(entry.total),
    tokens: entry?.tokens ?? 0,
    wastedTokens: entry?.wastedTokens ?? 0,
    recent: entry === undefined ? [] : computeTimeline(entry.fine, {
      stepMs: RECENT_STEP_MS,
      steps: RECENT_STEPS,
    }),
    past: entry === undefined ? [] : computePast(entry.coarse, windows.at(-1)!),
  };
}

function computePercentiles(encoded: string): Percentiles | undefined {
  const histogram = LatencyHistogram.decode(encoded);
  if (histogram.count === 0) return undefined;
  return {
    p50: histogram.getPercentile(50),
    p95: histogram.getPercentile(95),
    p99: histogram.getPercentile(99),
  };
}

function computePast(
  buckets: BurnBuckets,
  longest: CoveredWindow,
): TimelinePoint[] {
  const stepMs = Math.max(MIN_PAST_STEP_MS, longest.ms / MAX_PAST_STEPS);
  const steps = Math.ceil(longest.ms / stepMs);
  return computeTimeline(buckets, { stepMs, steps });
}

function computeTimeline(
  buckets: BurnBuckets,
  { stepMs, steps }: { stepMs: number; steps: number },
): TimelinePoint[] {
  const points = Array.from({ length: steps }, (_, index) => ({
    fromAgoMs: (index + 1) * stepMs,
    toAgoMs: index * stepMs,
    counts: createCounts(),
  }));
  buckets.ago.forEach((ago, index) => {
    const point = points[Math.floor(ago * buckets.widthMs / stepMs)];
    if (point === undefined) return;
    for (const result of RESULTS) {
      point.counts[result] += buckets[result][index]!;
    }
  });
  return points;
}

/** Index of the first burning rule, 0 being the worst; else the rule count. */
export function computeSeverity(row: BurnRow): number {
  const index = row.rules.findIndex(({ state }) =>
    state === "burning" || state === "burning_on_part"
  );
  return index === -1 ? row.rules.length : index;
}

/** Compares rows, the worst first. */
export function compareRows(left: BurnRow, right: BurnRow): number {
  return computeSeverity(left) - computeSeverity(right) ||
    computeWorstRate(right) - computeWorstRate(left) ||
    compareStrings(left.className, right.className) ||
    compareStrings(left.workspace ?? "", right.workspace ?? "");
}

function computeWorstRate(row: BurnRow): number {
  return Math.max(0, ...row.windows.map(({ burnRate }) => burnRate ?? 0));
}
