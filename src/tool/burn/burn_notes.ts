/**
 * Findings and limitations of the burn report as sentences.
 *
 * @module
 */
import { COARSE_BUCKET_MS } from "../../process/burn_stats.ts";
import { formatDuration } from "../table.ts";
import type { BurnReport } from "./burn_report.ts";
import type { BurnRow } from "./burn_rows.ts";
import { BURN_RULES, type RuleResult } from "./burn_rules.ts";

const MAX_SHOWN_NAMES = 8;

/** One sentence of the report. */
export interface BurnNote {
  text: string;
  /** Whether the note needs attention; shown more prominently. */
  isCritical: boolean;
}

/** Lists the rows whose budget burns, the worst first. */
export function listFindings(report: BurnReport): BurnNote[] {
  return report.rows.flatMap((row) =>
    row.rules
      .filter(({ state }) => state === "burning" || state === "burning_on_part")
      .slice(0, 1)
      .map((rule) => ({
        text: formatFinding(row, rule),
        isCritical: rule.rule === BURN_RULES[0]!.name,
      }))
  );
}

/** Lists which data is missing and how that limits the report. */
export function listLimits(report: BurnReport): BurnNote[] {
  return [
    ...listMissingNotes(report),
    ...listWindowNotes(report),
    ...listShortHistoryNotes(report),
    ...listHistoryNotes(report),
    ...listFoldNotes(report),
    ...listUnreachableNotes(report),
  ];
}

/** Formats the workspaces that a row covers. */
export function formatWorkspace(row: BurnRow, report: BurnReport): string {
  if (row.workspace !== undefined) return row.workspace;
  const hasOwn = report.rows.some((other) =>
    other.className === row.className && other.workspace !== undefined
  );
  return hasOwn ? "(all others)" : "(all)";
}

/** Formats the name of a row for sentences. */
export function formatRowName(row: BurnRow): string {
  return row.workspace === undefined
    ? row.className
    : `${row.className} of ${row.workspace}`;
}

function formatFinding(row: BurnRow, found: RuleResult): string {
  const rule = BURN_RULES.find(({ name }) => name === found.rule)!;
  const formatBurn = (name: string) => {
    const burn = row.windows.find(({ window }) => window === name);
    return `${burn?.burnRate?.toFixed(1) ?? "-"} over ${name}`;
  };
  const part = found.state === "burning_on_part"
    ? `, on the part of ${rule.long} with data`
    : "";
  return `${formatRowName(row)} burns its budget ${rule.name}: ` +
    `${formatBurn(rule.short)} and ${formatBurn(rule.long)}, both above ` +
    `${rule.threshold}${part}`;
}

function listMissingNotes(report: BurnReport): BurnNote[] {
  if (report.missing.length === 0) return [];
  const names = report.missing.map(({ vm, why, gatheredAtMs }) =>
    report.isFolded
      ? `${vm} at ${new Date(gatheredAtMs).toISOString()} (${why})`
      : `${vm} (${why})`
  );
  return [{
    text: `Not reached: ${names.join(", ")}. Their requests are in none of ` +
      "these figures, good or bad: if they are the failing VMs, the budgets " +
      "burn faster than shown",
    isCritical: true,
  }];
}

function listWindowNotes(report: BurnReport): BurnNote[] {
  return report.windows.filter(({ isComplete }) => !isComplete).slice(0, 1)
    .map(({ name, coveredMs }) => ({
      text: `Windows from ${name} on are longer than the data held ` +
        `(${formatDuration(coveredMs)}): their rates cover only that data`,
      isCritical: false,
    }));
}

function listShortHistoryNotes(report: BurnReport): BurnNote[] {
  const longest = Math.max(
    0,
    ...report.windows.map(({ coveredMs }) => coveredMs),
  );
  const young = report.isFolded
    ? []
    : report.vms.filter(({ reachMs }) => reachMs < longest - COARSE_BUCKET_MS);
  if (young.length === 0) return [];
  const shown = young.slice(0, MAX_SHOWN_NAMES).map(({ vm, reachMs }) =>
    `${vm} ${formatDuration(reachMs)}`
  );
  const more = young.length > MAX_SHOWN_NAMES
    ? ` and ${young.length - MAX_SHOWN_NAMES} more`
    : "";
  return [{
    text: `VMs with a shorter history: ${shown.join(", ")}${more}`,
    isCritical: false,
  }];
}

function listHistoryNotes(report: BurnReport): BurnNote[] {
  const isComplete = report.windows.every(({ partialVms }) => partialVms === 0);
  if (isComplete) return [];
  return [{
    text:
      "VMs do not persist figures: what a replaced VM served is lost, except " +
      "in saved reports and logs (--fold)",
    isCritical: false,
  }];
}

function listFoldNotes(report: BurnReport): BurnNote[] {
  const notes: BurnNote[] = [];
  if (report.coveredLogRequests > 0) {
    notes.push({
      text: `${report.coveredLogRequests} requests of the logs are already ` +
        "covered by a report of their VM and counted only once",
      isCritical: false,
    });
  }
  if (report.isFolded) {
    notes.push({
      text: "Causes and latencies cannot be limited to a window: HELD counts " +
        "cover each incarnation of a VM as a whole",
      isCritical: false,
    });
  }
  return notes;
}

function listUnreachableNotes(report: BurnReport): BurnNote[] {
  const rows = report.rows.filter((row) =>
    row.rules.some(({ state }) => state === "out_of_reach")
  );
  if (rows.length === 0) return [];
  const names = rows.slice(0, MAX_SHOWN_NAMES).map((row) => {
    const rules = row.rules.filter(({ state }) => state === "out_of_reach");
    const thresholds = rules.map(({ threshold }) => threshold).join(", ");
    return `${formatRowName(row)} (${thresholds})`;
  });
  return [{
    text:
      `Objectives too low to reach a threshold, even if all requests fail: ${
        names.join(", ")
      }`,
    isCritical: false,
  }];
}
