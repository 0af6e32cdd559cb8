/**
 * Windows, burn rates and the rules for when a budget counts as burning.
 *
 * The windows and thresholds are those of multi-window, multi-burn-rate alerts:
 * B. Beyer, N. R. Murphy, D. K. Rensin, K. Kawahara, S. Thorne (editors), The
 * Site Reliability Workbook, O'Reilly 2018, chapter 5, "Alerting on SLOs". A
 * budget burns if the rates over a long and a short window both exceed the
 * threshold: the long window shows that the burn is significant, the short one
 * that it continues.
 *
 * @module
 */
import {
  type BurnCounts,
  COARSE_BUCKET_MS,
  FINE_BUCKET_MS,
  FINE_BUCKETS,
} from "../../process/burn_stats.ts";
import type { BurnFold } from "./burn_fold.ts";
import { computeCoveredMs, mergeSpans } from "./burn_sources.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Windows within the three days of data that a VM keeps. */
const VM_WINDOWS: readonly BurnWindow[] = [
  { name: "5min", ms: 5 * MINUTE_MS },
  { name: "30min", ms: 30 * MINUTE_MS },
  { name: "1h", ms: HOUR_MS },
  { name: "6h", ms: 6 * HOUR_MS },
  { name: "3d", ms: 3 * DAY_MS },
];
/** Windows that only merged reports or logs can cover. */
const LONG_WINDOWS: readonly BurnWindow[] = [
  { name: "7d", ms: 7 * DAY_MS },
  { name: "30d", ms: 30 * DAY_MS },
];
/** Rules, the most urgent first. */
export const BURN_RULES: readonly BurnRule[] = [
  { name: "fast", threshold: 14.4, long: "1h", short: "5min" },
  { name: "slow", threshold: 6, long: "6h", short: "30min" },
  { name: "steady", threshold: 1, long: "3d", short: "6h" },
];
/** Rates are rounded to this precision to remove floating-point noise. */
const RATE_SIGNIFICANT_DIGITS = 12;

/** A time span that ends now. */
export interface BurnWindow {
  name: string;
  ms: number;
}

/** Two windows and the burn rate that both must exceed. */
export interface BurnRule {
  name: string;
  threshold: number;
  long: string;
  short: string;
}

/** A window with the part of it that the figures cover. */
export interface CoveredWindow extends BurnWindow {
  coveredMs: number;
  /** Whether at least one VM has figures at every time of the window. */
  isComplete: boolean;
  /** Number of VMs whose figures cover only part of the window. */
  partialVms: number;
}

/** Counts and burn rate of one window of one row. */
export interface WindowBurn {
  window: string;
  counts: BurnCounts;
  /** Number of requests that count towards the objective. */
  counted: number;
  bad: number;
  /** `bad` / `counted`; undefined without counted requests. */
  badShare: number | undefined;
  /**
   * 1 uses up the budget exactly; undefined without an objective or counted
   * requests.
   */
  burnRate: number | undefined;
}

/** Result of a rule for one row. */
export type RuleState =
  /** Both windows exceed the threshold. */
  | "burning"
  /** As "burning", but the figures cover the long window only in part. */
  | "burning_on_part"
  | "quiet"
  /** No counted request in the long window, or no objective. */
  | "no_data"
  /** The rate cannot exceed the threshold, even if all requests fail. */
  | "out_of_reach";

/** State of one rule for one row. */
export interface RuleResult {
  rule: string;
  threshold: number;
  state: RuleState;
}

/** Error budget over the longest window. */
export interface BurnBudget {
  window: string;
  /** Number of requests that may be bad. */
  allowed: number;
  bad: number;
  /**
   * Unused share: 1 if nothing is used, negative if overspent; undefined if no
   * request may be bad.
   */
  left: number | undefined;
}

/** Computes the burn rate; undefined without counted requests. */
function computeBurnRate(
  counts: BurnCounts,
  objective: number,
): number | undefined {
  const counted = computeCounted(counts);
  if (counted === 0) return undefined;
  const rate = computeBad(counts) / counted / (1 - objective);
  return Number(rate.toPrecision(RATE_SIGNIFICANT_DIGITS));
}

/** Number of late, refused or lost requests. */
export function computeBad(counts: BurnCounts): number {
  return counts.late + counts.refused + counts.lost;
}

/** Number of requests that count towards the objective: all but cancelled. */
export function computeCounted(counts: BurnCounts): number {
  return counts.met + computeBad(counts);
}

/** Lists the windows to show, with their coverage. */
export function listWindows(fold: BurnFold): CoveredWindow[] {
  const byVm = [...fold.spansByVm.values()];
  const all = mergeSpans(byVm.flat());
  const isLong = computeCoveredMs(all, Infinity) > VM_WINDOWS.at(-1)!.ms;
  const windows = isLong ? [...VM_WINDOWS, ...LONG_WINDOWS] : VM_WINDOWS;
  return windows.map((window) => {
    const fineMs = computeFineReachMs(fold, window);
    const coveredMs = Math.min(computeCoveredMs(all, window.ms), fineMs);
    return {
      ...window,
      coveredMs,
      isComplete: isFullyCovered(window, coveredMs),
      partialVms: byVm.filter((spans) =>
        !isFullyCovered(window, computeCoveredMs(spans, window.ms))
      )
        .length,
    };
  });
}

/**
 * Tolerates one missing bucket at the start of the window, since a VM drops a
 * bucket as soon as part of it is too old.
 */
function isFullyCovered(window: BurnWindow, coveredMs: number): boolean {
  return coveredMs >=
    window.ms - (isFine(window) ? FINE_BUCKET_MS : COARSE_BUCKET_MS);
}

function isFine(window: BurnWindow): boolean {
  return window.ms <= FINE_BUCKETS * FINE_BUCKET_MS;
}

/**
 * Returns how far back the fine buckets of all sources reach, in milliseconds.
 * A busy VM may have dropped old ones to limit its memory.
 */
function computeFineReachMs(fold: BurnFold, window: BurnWindow): number {
  if (!isFine(window)) return Infinity;
  const reaches = fold.sources.flatMap(({ series }) => {
    const { fineReachMs, reachMs } = series;
    const isCut = fineReachMs !== undefined && fineReachMs < reachMs;
    return isCut ? [fineReachMs] : [];
  });
  return Math.min(Infinity, ...reaches);
}

/** Computes the burn of one window from its counts. */
export function computeWindow(
  counts: BurnCounts,
  options: { name: string; objective: number | undefined },
): WindowBurn {
  const counted = computeCounted(counts);
  const bad = computeBad(counts);
  return {
    window: options.name,
    counts,
    counted,
    bad,
    badShare: counted === 0 ? undefined : bad / counted,
    burnRate: options.objective === undefined
      ? undefined
      : computeBurnRate(counts, options.objective),
  };
}

/** Evaluates a rule on the windows of a row. */
export function computeRule(
  rule: BurnRule,
  options: {
    burns: readonly WindowBurn[];
    windows: readonly CoveredWindow[];
    objective: number | undefined;
  },
): RuleResult {
  const { burns, windows, objective } = options;
  const { name, threshold } = rule;
  const long = burns.find(({ window }) => window === rule.long)?.burnRate;
  const short = burns.find(({ window }) => window === rule.short)?.burnRate;
  const build = (state: RuleState) => ({ rule: name, threshold, state });
  if (objective === undefined || long === undefined) return build("no_data");
  if (1 / (1 - objective) <= threshold) return build("out_of_reach");
  if (long <= threshold || (short ?? 0) <= threshold) return build("quiet");
  const isComplete = windows.find((window) => window.name === rule.long)
    ?.isComplete;
  return build(isComplete ? "burning" : "burning_on_part");
}

/** Computes the error budget over the longest window. */
export function computeBudget(
  longest: WindowBurn,
  objective: number | undefined,
): BurnBudget | undefined {
  if (objective === undefined) return undefined;
  const allowed = longest.counted * (1 - objective);
  return {
    window: longest.window,
    allowed,
    bad: longest.bad,
    left: allowed === 0 ? undefined : 1 - longest.bad / allowed,
  };
}
