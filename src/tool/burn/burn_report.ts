/**
 * Computes the burn report: burn rates, budgets and causes.
 *
 * @module
 */
import type { BurnFold } from "./burn_fold.ts";
import {
  type CauseDimension,
  type CauseShare,
  computeCauseShares,
  listCauses,
  type RankedCause,
} from "./burn_causes.ts";
import {
  type BurnRow,
  collectRows,
  compareRows,
  computeRow,
} from "./burn_rows.ts";
import { type CoveredWindow, listWindows } from "./burn_rules.ts";
import type { MissingVm } from "./burn_sources.ts";

/** Time that the figures of one VM cover. */
export interface VmSummary {
  vm: string;
  incarnation: string;
  /** Age of the incarnation when it was sampled, in milliseconds. */
  gatheredMs: number;
  /** Age of its oldest bucket, in milliseconds. */
  reachMs: number;
}

/** Contents of the report. */
export interface BurnReport {
  atMs: number;
  isFolded: boolean;
  samples: number;
  logRequests: number;
  coveredLogRequests: number;
  vms: VmSummary[];
  missing: MissingVm[];
  windows: CoveredWindow[];
  /** The worst first. */
  rows: BurnRow[];
  /** The worst first. */
  causes: RankedCause[];
  breakdown: Record<CauseDimension, CauseShare[]>;
}

/** Computes the report. */
export function computeReport(fold: BurnFold): BurnReport {
  const windows = listWindows(fold);
  const entries = fold.series.entries;
  const isFolded = fold.samples !== 1 || fold.logRequests > 0;
  const causes = listCauses(entries, {
    objectives: fold.objectives,
    isFolded,
  });
  return {
    atMs: fold.atMs,
    isFolded,
    samples: fold.samples,
    logRequests: fold.logRequests,
    coveredLogRequests: fold.coveredLogRequests,
    vms: fold.sources.map(({ vm, incarnation, series }) => ({
      vm,
      incarnation,
      gatheredMs: series.gatheredMs,
      reachMs: series.reachMs,
    })),
    missing: fold.missing,
    windows,
    rows: collectRows(entries, fold.objectives)
      .map((group) => computeRow(group, windows))
      .sort(compareRows),
    causes,
    breakdown: {
      result: computeCauseShares(causes, "result"),
      tier: computeCauseShares(causes, "tier"),
      step: computeCauseShares(causes, "step"),
      pool: computeCauseShares(causes, "pool"),
      upstream: computeCauseShares(causes, "upstream"),
    },
  };
}
