/**
 * Renders the burn report as text, optionally with terminal colours.
 *
 * @module
 */
import type { BurnCounts } from "../../process/burn_stats.ts";
import { formatDuration, formatShare, renderTable } from "../table.ts";
import { CAUSE_DIMENSIONS, type CauseShare } from "./burn_causes.ts";
import { toPlainText } from "./clean_text.ts";
import { formatWorkspace, listFindings, listLimits } from "./burn_notes.ts";
import type { BurnReport } from "./burn_report.ts";
import {
  type BurnRow,
  computeSeverity,
  type TimelinePoint,
} from "./burn_rows.ts";
import {
  BURN_RULES,
  computeBad,
  computeCounted,
  type WindowBurn,
} from "./burn_rules.ts";

const UNKNOWN = "-";
const MAX_SHOWN_CAUSES = 12;
const MAX_SHOWN_SHARES = 5;
const BAR_WIDTH = 24;
const CHART_STEPS = 30;
const LEVELS = ["▁", "▂", "▃", "▄", "▅", "▆", "▇", "█"];
/** Shown for a step without counted requests. */
const EMPTY_LEVEL = "·";
const BAR = "█";

const STYLES = {
  alert: "\u001b[1;31m",
  warning: "\u001b[33m",
  good: "\u001b[32m",
  head: "\u001b[1m",
  faint: "\u001b[2m",
} as const;
const RESET = "\u001b[0m";

type Style = keyof typeof STYLES;

/** Rendering options. */
export interface TextOptions {
  hasColour: boolean;
}

/** Renders the report as text. */
export function renderText(report: BurnReport, options: TextOptions): string {
  const paint = (text: string, style: Style | undefined) =>
    options.hasColour && style !== undefined
      ? `${STYLES[style]}${text}${RESET}`
      : text;
  const sections = [
    renderHead(report, paint),
    renderRows(report, paint),
    renderFindings(report, paint),
    renderBreakdown(report, paint),
    renderCauses(report, paint),
  ];
  return sections.filter((section) => section !== "").join("\n");
}

type Paint = (text: string, style: Style | undefined) => string;

function renderHead(report: BurnReport, paint: Paint): string {
  const when = new Date(report.atMs).toISOString();
  const lines = [paint(`Service-level burn at ${when}`, "head")];
  lines.push(
    report.isFolded
      ? `Merged: ${report.samples} reports of ${report.vms.length} VM ` +
        `incarnations, and ${report.logRequests} requests from logs`
      : `Figures of ${report.vms.length} VMs`,
  );
  for (const limit of listLimits(report)) {
    const style = limit.isCritical ? "warning" : "faint";
    lines.push(paint(toPlainText(limit.text), style));
  }
  return toLines(lines);
}

function renderRows(report: BurnReport, paint: Paint): string {
  if (report.rows.length === 0) return "No class has received a request\n";
  const headers = [
    "CLASS",
    "WORKSPACE",
    "OBJECTIVE",
    "COUNTED",
    "BAD",
    ...report.windows.map(({ name, isComplete }) =>
      `BURN ${name}${isComplete ? "" : "*"}`
    ),
    "LEFT",
    "P95",
    "LAST HOUR",
  ];
  const cells = report.rows.map((row) => [
    row.className,
    formatWorkspace(row, report),
    row.objective === undefined ? UNKNOWN : formatShare(row.objective),
    String(row.windows.at(-1)!.counted),
    String(row.windows.at(-1)!.bad),
    ...row.windows.map(formatRate),
    row.budget?.left === undefined ? UNKNOWN : formatShare(row.budget.left),
    row.total === undefined ? UNKNOWN : formatDuration(row.total.p95),
    renderChart(row.recent),
  ]);
  const [head, ...lines] = renderTable(headers, cells.map(toPlainCells))
    .trimEnd().split("\n");
  const notes = report.windows.every(({ isComplete }) => isComplete)
    ? []
    : [paint("* The window is longer than the data held", "faint")];
  return toLines([
    paint(head!, "head"),
    ...lines.map((line, index) => paint(line, getStyle(report.rows[index]!))),
    ...notes,
    paint(
      "COUNTED, BAD and LEFT cover the longest window; LAST HOUR is the " +
        "share of bad requests in steps of two minutes",
      "faint",
    ),
  ]);
}

function renderFindings(report: BurnReport, paint: Paint): string {
  const findings = listFindings(report);
  if (findings.length === 0) {
    return toLines([paint("No budget burns above a threshold", "good")]);
  }
  return toLines(
    findings.map(({ text, isCritical }) =>
      paint(toPlainText(text), isCritical ? "alert" : "warning")
    ),
  );
}

function renderBreakdown(report: BurnReport, paint: Paint): string {
  if (report.causes.length === 0) return "";
  const span = report.isFolded ? "all data held" : "the last hour";
  const count = (share: CauseShare) =>
    report.isFolded ? share.total : share.lastHour;
  const lines = [paint(`Bad requests by property in ${span}`, "head")];
  for (const dimension of CAUSE_DIMENSIONS) {
    const shares = report.breakdown[dimension].filter((share) =>
      count(share) > 0
    )
      .toSorted((left, right) => count(right) - count(left));
    const sum = shares.reduce((total, share) => total + count(share), 0);
    const rows = shares.slice(0, MAX_SHOWN_SHARES).map((share, index) => [
      index === 0 ? dimension : "",
      share.value || "(none)",
      String(count(share)),
      renderBar(count(share) / sum),
    ]);
    if (rows.length === 0) continue;
    lines.push(
      ...renderTable(["BY", "", "BAD", ""], rows.map(toPlainCells)).trimEnd()
        .split("\n").slice(1),
    );
  }
  return lines.length === 1 ? "" : toLines(lines);
}

function renderCauses(report: BurnReport, paint: Paint): string {
  const causes = report.causes
    .filter(({ lastHour, total }) => (report.isFolded ? total : lastHour) > 0)
    .slice(0, MAX_SHOWN_CAUSES);
  if (causes.length === 0) return "";
  const headers = [
    "CLASS",
    "WORKSPACE",
    "RESULT",
    "STEP",
    "POOL",
    "UPSTREAM",
    "LAST HOUR",
    "HELD",
    "EXAMPLE",
  ];
  const rows = causes.map((cause) => [
    cause.className,
    cause.workspace,
    cause.result,
    cause.step,
    cause.pool || UNKNOWN,
    cause.upstream || UNKNOWN,
    String(cause.lastHour),
    String(cause.total),
    cause.examples[0] ?? UNKNOWN,
  ]);
  const title =
    "Causes, worst first; `persimmonslip fate EXAMPLE` shows each step";
  return `${paint(title, "head")}\n${
    renderTable(headers, rows.map(toPlainCells))
  }`;
}

function formatRate({ burnRate }: WindowBurn): string {
  return burnRate === undefined ? UNKNOWN : burnRate.toFixed(1);
}

function getStyle(row: BurnRow): Style | undefined {
  const severity = computeSeverity(row);
  if (severity === 0) return "alert";
  return severity < BURN_RULES.length ? "warning" : undefined;
}

/** Renders the share of bad requests, the oldest step first. */
function renderChart(points: readonly TimelinePoint[]): string {
  const steps: string[] = [];
  const size = Math.ceil(points.length / CHART_STEPS);
  for (let from = 0; from < points.length; from += size) {
    const counts = points.slice(from, from + size).map((point) => point.counts);
    steps.unshift(renderLevel(counts));
  }
  return steps.join("");
}

function renderLevel(parts: readonly BurnCounts[]): string {
  const counted = parts.reduce((sum, part) => sum + computeCounted(part), 0);
  const bad = parts.reduce((sum, part) => sum + computeBad(part), 0);
  if (counted === 0) return EMPTY_LEVEL;
  return LEVELS[Math.ceil(bad / counted * (LEVELS.length - 1))]!;
}

function renderBar(share: number): string {
  return BAR.repeat(Math.max(1, Math.round(share * BAR_WIDTH)));
}

function toPlainCells(cells: readonly string[]): string[] {
  return cells.map(toPlainText);
}

function toLines(lines: readonly string[]): string {
  return lines.map((line) => `${line}\n`).join("");
}
