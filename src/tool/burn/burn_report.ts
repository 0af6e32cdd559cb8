/**
 * The report on service-level burn.
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
import { type HeldWindow, listWindows } from "./burn_rules.ts";
import type { MissingVm } from "./burn_sources.ts";

/** One VM's part. */
export interface VmPart {
  vm: string;
  incarnation: string;
  /** How long this life of its process had lasted. */
  gatheredMs: number;
  /** How far back its buckets go. */
  reachMs: number;
}

/** Everything that the report shows. */
export interface BurnReport {
  atMs: number;
  isFolded: boolean;
  samples: number;
  logRequests: number;
  coveredLogRequests: number;
  vms: VmPart[];
  missing: MissingVm[];
  windows: HeldWindow[];
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
