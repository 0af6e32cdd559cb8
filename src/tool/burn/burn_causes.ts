/**
 * Causes of budget burn, ranked and aggregated by property.
 *
 * @module
 */
import type { BurnCause, BurnEntry } from "../../process/burn_stats.ts";
import { compareStrings } from "../../version/record_problem.ts";
import type { ClassObjective } from "./burn_sources.ts";

/** A cause with the class, workspace and tier whose budget it burns. */
export interface RankedCause extends BurnCause {
  className: string;
  workspace: string;
  tier: string;
}

/** Number of bad requests for one value of a dimension. */
export interface CauseShare {
  value: string;
  lastHour: number;
  total: number;
  byResult: Record<BurnCause["result"], { lastHour: number; total: number }>;
}

/** Properties that bad requests are aggregated by. */
export const CAUSE_DIMENSIONS = [
  "result",
  "tier",
  "step",
  "pool",
  "upstream",
] as const;
/** Property that bad requests are aggregated by. */
export type CauseDimension = typeof CAUSE_DIMENSIONS[number];

/**
 * Lists all causes, the worst first: by the last hour, or by the total if
 * reports or logs were merged.
 */
export function listCauses(
  entries: readonly BurnEntry[],
  options: { objectives: readonly ClassObjective[]; isFolded: boolean },
): RankedCause[] {
  const tiers = new Map(
    options.objectives.map(({ className, tier }) => [className, tier]),
  );
  return entries.flatMap((entry) =>
    entry.causes.map((cause) => ({
      ...cause,
      className: entry.className,
      workspace: entry.workspace,
      tier: tiers.get(entry.className) ?? "",
    }))
  ).sort((left, right) =>
    (options.isFolded ? 0 : right.lastHour - left.lastHour) ||
    right.total - left.total || compareCauseNames(left, right)
  );
}

function compareCauseNames(left: RankedCause, right: RankedCause): number {
  const toKey = (cause: RankedCause) =>
    JSON.stringify([
      cause.className,
      cause.workspace,
      cause.result,
      cause.step,
      cause.pool,
      cause.upstream,
    ]);
  return compareStrings(toKey(left), toKey(right));
}

/** Aggregates the causes by one property, the worst first. */
export function computeCauseShares(
  causes: readonly RankedCause[],
  dimension: CauseDimension,
): CauseShare[] {
  const shares = new Map<string, CauseShare>();
  for (const cause of causes) {
    const value = cause[dimension];
    const share = shares.get(value) ?? createShare(value);
    shares.set(value, share);
    share.lastHour += cause.lastHour;
    share.total += cause.total;
    share.byResult[cause.result].lastHour += cause.lastHour;
    share.byResult[cause.result].total += cause.total;
  }
  return [...shares.values()].sort((left, right) =>
    right.lastHour - left.lastHour || right.total - left.total ||
    compareStrings(left.value, right.value)
  );
}

function createShare(value: string): CauseShare {
  const createPart = () => ({ lastHour: 0, total: 0 });
  return {
    value,
    lastHour: 0,
    total: 0,
    byResult: {
      late: createPart(),
      refused: createPart(),
      lost: createPart(),
    },
  };
}
