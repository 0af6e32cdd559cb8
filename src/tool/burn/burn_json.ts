/**
 * Converts the burn report to JSON, which `--fold` can read back.
 *
 * @module
 */
import { buildSavedReport } from "./burn_files.ts";
import type { BurnFold } from "./burn_fold.ts";
import { listFindings, listLimits } from "./burn_notes.ts";
import type { BurnReport } from "./burn_report.ts";
import type { BurnRow, TimelinePoint } from "./burn_rows.ts";

/** Builds the value that `--json` prints. */
export function buildJson(fold: BurnFold, report: BurnReport): object {
  return {
    ...buildSavedReport(fold),
    folded: report.isFolded,
    findings: listFindings(report).map(({ text }) => text),
    limits: listLimits(report).map(({ text }) => text),
    windows: report.windows.map((window) => ({
      window: window.name,
      ms: window.ms,
      held_ms: window.coveredMs,
      whole: window.isComplete,
      short_vms: window.partialVms,
    })),
    rows: report.rows.map(toJsonRow),
    blame: report.breakdown,
    causes: report.causes.map((cause) => ({
      class: cause.className,
      workspace: cause.workspace,
      tier: cause.tier,
      result: cause.result,
      step: cause.step,
      pool: cause.pool,
      upstream: cause.upstream,
      last_hour: cause.lastHour,
      total: cause.total,
      examples: cause.examples,
    })),
  };
}

function toJsonRow(row: BurnRow): object {
  return {
    class: row.className,
    workspace: row.workspace ?? null,
    tier: row.tier ?? null,
    objective: row.objective ?? null,
    windows: row.windows.map((burn) => ({
      window: burn.window,
      counts: burn.counts,
      counted: burn.counted,
      bad: burn.bad,
      bad_share: burn.badShare ?? null,
      burn_rate: burn.burnRate ?? null,
    })),
    rules: row.rules,
    budget: row.budget === undefined ? null : {
      window: row.budget.window,
      allowed: row.budget.allowed,
      bad: row.budget.bad,
      left: row.budget.left ?? null,
    },
    first_token_ms: row.firstToken ?? null,
    total_ms: row.total ?? null,
    tokens: row.tokens,
    wasted_tokens: row.wastedTokens,
    recent: row.recent.filter(hasCounts).map(toJsonPoint),
    past: row.past.filter(hasCounts).map(toJsonPoint),
  };
}

function hasCounts({ counts }: TimelinePoint): boolean {
  return Object.values(counts).some((count) => count > 0);
}

function toJsonPoint(point: TimelinePoint): object {
  return {
    from_ms_ago: point.fromAgoMs,
    to_ms_ago: point.toAgoMs,
    counts: point.counts,
  };
}
