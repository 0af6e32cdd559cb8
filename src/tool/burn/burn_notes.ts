/**
 * What the figures say, and what they cannot say, in sentences.
 *
 * @module
 */
import { COARSE_BUCKET_MS } from "../../process/burn_stats.ts";
import { formatDuration } from "../table.ts";
import type { BurnReport } from "./burn_report.ts";
import type { BurnRow } from "./burn_rows.ts";
import { BURN_RULES, type RuleBurn } from "./burn_rules.ts";

const SHOWN_NAMES = 8;

/** One sentence of the report. */
export interface BurnNote {
  text: string;
  /** Whether a reader must know it to read the rest. */
  isGrave: boolean;
}

/** Rows whose budget burns, the worst first. */
export function listFindings(report: BurnReport): BurnNote[] {
  return report.rows.flatMap((row) =>
    row.rules
      .filter(({ state }) => state === "burning" || state === "burning_on_part")
      .slice(0, 1)
      .map((rule) => ({
        text: formatFinding(row, rule),
        isGrave: rule.rule === BURN_RULES[0]!.name,
      }))
  );
}

/** What is missing from the figures, and what that hides. */
export function listLimits(report: BurnReport): BurnNote[] {
  return [
    ...listMissingNotes(report),
    ...listWindowNotes(report),
    ...listYoungNotes(report),
    ...listHistoryNotes(report),
    ...listFoldNotes(report),
    ...listReachNotes(report),
  ];
}

/** The workspaces of a row. */
export function formatWorkspace(row: BurnRow, report: BurnReport): string {
  if (row.workspace !== undefined) return row.workspace;
  const hasOwn = report.rows.some((other) =>
    other.className === row.className && other.workspace !== undefined
  );
  return hasOwn ? "(all others)" : "(all)";
}

/** The name of a row for people. */
export function formatRowName(row: BurnRow): string {
  return row.workspace === undefined
    ? row.className
    : `${row.className} of ${row.workspace}`;
}

function formatFinding(row: BurnRow, found: RuleBurn): string {
  const rule = BURN_RULES.find(({ name }) => name === found.rule)!;
  const formatBurn = (name: string) => {
    const burn = row.windows.find(({ window }) => window === name);
    return `${burn?.burnRate?.toFixed(1) ?? "-"} over ${name}`;
  };
  const part = found.state === "burning_on_part"
    ? `, on the part of ${rule.long} that is held`
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
    text: `Not reached: ${names.join(", ")}. What they served is in none of ` +
      "these figures, good or bad: were they the ones that fail, the budgets " +
      "burn faster than is shown here",
    isGrave: true,
  }];
}

function listWindowNotes(report: BurnReport): BurnNote[] {
  return report.windows.filter(({ isWhole }) => !isWhole).slice(0, 1)
    .map(({ name, heldMs }) => ({
      text: `Windows from ${name} on are longer than what is held ` +
        `(${formatDuration(heldMs)}): their rates are over what is held`,
      isGrave: false,
    }));
}

function listYoungNotes(report: BurnReport): BurnNote[] {
  const longest = Math.max(0, ...report.windows.map(({ heldMs }) => heldMs));
  const young = report.isFolded
    ? []
    : report.vms.filter(({ reachMs }) => reachMs < longest - COARSE_BUCKET_MS);
  if (young.length === 0) return [];
  const shown = young.slice(0, SHOWN_NAMES).map(({ vm, reachMs }) =>
    `${vm} ${formatDuration(reachMs)}`
  );
  const more = young.length > SHOWN_NAMES
    ? ` and ${young.length - SHOWN_NAMES} more`
    : "";
  return [{
    text: `Held for less than the longest: ${shown.join(", ")}${more}`,
    isGrave: false,
  }];
}

function listHistoryNotes(report: BurnReport): BurnNote[] {
  const isWhole = report.windows.every(({ shortVms }) => shortVms === 0);
  if (isWhole) return [];
  return [{
    text: "No VM keeps history: what a replaced VM served is lost, but for " +
      "saved reports and logs (--fold)",
    isGrave: false,
  }];
}

function listFoldNotes(report: BurnReport): BurnNote[] {
  const notes: BurnNote[] = [];
  if (report.coveredLogRequests > 0) {
    notes.push({
      text: `${report.coveredLogRequests} requests of the logs fall where a ` +
        "report covers their VM, and are counted from the report alone",
      isGrave: false,
    });
  }
  if (report.isFolded) {
    notes.push({
      text: "Causes and latencies cannot be cut to a window: HELD counts are " +
        "of each VM's whole life",
      isGrave: false,
    });
  }
  return notes;
}

function listReachNotes(report: BurnReport): BurnNote[] {
  const rows = report.rows.filter((row) =>
    row.rules.some(({ state }) => state === "out_of_reach")
  );
  if (rows.length === 0) return [];
  const names = rows.slice(0, SHOWN_NAMES).map((row) => {
    const rules = row.rules.filter(({ state }) => state === "out_of_reach");
    const thresholds = rules.map(({ threshold }) => threshold).join(", ");
    return `${formatRowName(row)} (${thresholds})`;
  });
  return [{
    text: `Objectives too low for a threshold, even if all failed: ${
      names.join(", ")
    }`,
    isGrave: false,
  }];
}
