/**
 * Windows, burn rates and when a budget is said to burn.
 *
 * The windows and thresholds are those of multi-window, multi-burn-rate alerts:
 * B. Beyer, N. R. Murphy, D. K. Rensin, K. Kawahara, S. Thorne (editors), The
 * Site Reliability Workbook, O'Reilly 2018, chapter 5, "Alerting on SLOs". A
 * budget burns when the rates over a long and a short window are both above the
 * threshold: the long one says that it matters, the short one that it goes on.
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
import { computeHeld, mergeSpans } from "./burn_sources.ts";

const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;

/** Windows of the last three days, which a VM can hold. */
const HELD_WINDOWS: readonly BurnWindow[] = [
  { name: "5min", ms: 5 * MINUTE_MS },
  { name: "30min", ms: 30 * MINUTE_MS },
  { name: "1h", ms: HOUR_MS },
  { name: "6h", ms: 6 * HOUR_MS },
  { name: "3d", ms: 3 * DAY_MS },
];
/** Windows that only a fold can reach. */
const LONG_WINDOWS: readonly BurnWindow[] = [
  { name: "7d", ms: 7 * DAY_MS },
  { name: "30d", ms: 30 * DAY_MS },
];
/** Pairs of windows and the burn rate that both must be above. */
export const BURN_RULES: readonly BurnRule[] = [
  { name: "fast", threshold: 14.4, long: "1h", short: "5min" },
  { name: "slow", threshold: 6, long: "6h", short: "30min" },
  { name: "steady", threshold: 1, long: "3d", short: "6h" },
];
/** Rates are compared and shown without the noise of binary fractions. */
const RATE_DIGITS = 12;

/** A span of time up to now. */
export interface BurnWindow {
  name: string;
  ms: number;
}

/** When a budget is said to burn. */
export interface BurnRule {
  name: string;
  threshold: number;
  long: string;
  short: string;
}

/** A window, and how much of it the figures cover. */
export interface HeldWindow extends BurnWindow {
  heldMs: number;
  /** Whether the figures of some VM or other go back to its start. */
  isWhole: boolean;
  /** VMs of which less than the window is held. */
  shortVms: number;
}

/** One window of one row. */
export interface WindowBurn {
  window: string;
  counts: BurnCounts;
  /** Requests that count for the objective. */
  counted: number;
  bad: number;
  /** `bad` over `counted`; undefined without any. */
  badShare: number | undefined;
  /** 1 spends the budget exactly; undefined without objective or request. */
  burnRate: number | undefined;
}

/** What one rule says of one row. */
export type RuleState =
  /** Both windows are above the threshold. */
  | "burning"
  /** So are they, but the long window is not held whole. */
  | "burning_on_part"
  | "quiet"
  /** Nothing counted in the long window, or no objective. */
  | "no_data"
  /** Even if all failed, the rate could not pass the threshold. */
  | "out_of_reach";

/** One rule of one row. */
export interface RuleBurn {
  rule: string;
  threshold: number;
  state: RuleState;
}

/** What is left of an error budget over the longest window. */
export interface BurnBudget {
  window: string;
  /** Requests that may be bad. */
  allowed: number;
  bad: number;
  /** 1 when nothing is spent, below 0 when overspent; undefined when none may
   * be bad. */
  left: number | undefined;
}

/** The burn rate of counts; undefined without requests. */
function computeBurnRate(
  counts: BurnCounts,
  objective: number,
): number | undefined {
  const counted = computeCounted(counts);
  if (counted === 0) return undefined;
  const rate = computeBad(counts) / counted / (1 - objective);
  return Number(rate.toPrecision(RATE_DIGITS));
}

/** Requests that were late, refused or lost. */
export function computeBad(counts: BurnCounts): number {
  return counts.late + counts.refused + counts.lost;
}

/** Requests that count for the objective: not those that the caller gave up. */
export function computeCounted(counts: BurnCounts): number {
  return counts.met + computeBad(counts);
}

/** The windows to show, with how much of each is held. */
export function listWindows(fold: BurnFold): HeldWindow[] {
  const byVm = [...fold.spansByVm.values()];
  const all = mergeSpans(byVm.flat());
  const isLong = computeHeld(all, Infinity) > HELD_WINDOWS.at(-1)!.ms;
  const windows = isLong ? [...HELD_WINDOWS, ...LONG_WINDOWS] : HELD_WINDOWS;
  return windows.map((window) => {
    const fineMs = computeFineReach(fold, window);
    const heldMs = Math.min(computeHeld(all, window.ms), fineMs);
    return {
      ...window,
      heldMs,
      isWhole: isHeldWhole(window, heldMs),
      shortVms: byVm.filter((spans) =>
        !isHeldWhole(window, computeHeld(spans, window.ms))
      )
        .length,
    };
  });
}

/** The bucket in which a window begins need not be held to its start: a VM
 * gives up a bucket as soon as part of it is too old. */
function isHeldWhole(window: BurnWindow, heldMs: number): boolean {
  return heldMs >=
    window.ms - (isFine(window) ? FINE_BUCKET_MS : COARSE_BUCKET_MS);
}

function isFine(window: BurnWindow): boolean {
  return window.ms <= FINE_BUCKETS * FINE_BUCKET_MS;
}

/** A busy VM may have given up fine buckets for want of memory. */
function computeFineReach(fold: BurnFold, window: BurnWindow): number {
  if (!isFine(window)) return Infinity;
  const reaches = fold.sources.flatMap(({ series }) => {
    const { fineReachMs, reachMs } = series;
    const isCut = fineReachMs !== undefined && fineReachMs < reachMs;
    return isCut ? [fineReachMs] : [];
  });
  return Math.min(Infinity, ...reaches);
}

/** What one window's counts come to. */
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

/** What a rule says of a row's windows. */
export function computeRule(
  rule: BurnRule,
  options: {
    burns: readonly WindowBurn[];
    windows: readonly HeldWindow[];
    objective: number | undefined;
  },
): RuleBurn {
  const { burns, windows, objective } = options;
  const { name, threshold } = rule;
  const long = burns.find(({ window }) => window === rule.long)?.burnRate;
  const short = burns.find(({ window }) => window === rule.short)?.burnRate;
  const build = (state: RuleState) => ({ rule: name, threshold, state });
  if (objective === undefined || long === undefined) return build("no_data");
  if (1 / (1 - objective) <= threshold) return build("out_of_reach");
  if (long <= threshold || (short ?? 0) <= threshold) return build("quiet");
  const isWhole = windows.find((window) => window.name === rule.long)?.isWhole;
  return build(isWhole ? "burning" : "burning_on_part");
}

/** What is left of the budget over the longest window. */
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
