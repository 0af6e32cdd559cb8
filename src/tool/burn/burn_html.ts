/**
 * Renders the burn report as a self-contained HTML page without scripts.
 *
 * @module
 */
import { formatDuration, formatShare } from "../table.ts";
import { CAUSE_DIMENSIONS } from "./burn_causes.ts";
import {
  type BurnNote,
  formatRowName,
  formatWorkspace,
  listFindings,
  listLimits,
} from "./burn_notes.ts";
import { renderBreakdown, renderTimeline } from "./burn_plots.ts";
import type { BurnReport } from "./burn_report.ts";
import type { BurnRow } from "./burn_rows.ts";
import { BURN_RULES, type WindowBurn } from "./burn_rules.ts";
import { PAGE_STYLE } from "./burn_style.ts";
import { toHtmlText } from "./clean_text.ts";

const HOUR_MS = 3_600_000;
/**
 * Limits the page size: the plots of one row take about 20 kB. The table lists
 * every row regardless of this limit.
 */
const MAX_PLOTTED_ROWS = 24;
const MAX_SHOWN_CAUSES = 40;
const UNKNOWN = "–";
/**
 * Content security policy: no scripts and no network access, in case a value is
 * not escaped correctly.
 */
const POLICY = "default-src 'none'; style-src 'unsafe-inline'";

/** Renders the report as a page. */
export function renderPage(report: BurnReport): string {
  const when = new Date(report.atMs).toISOString();
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy" content="${POLICY}">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn at ${when}</title>
<style>${PAGE_STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p class="faint">At ${when}. ${renderSources(report)}</p>
${renderFindings(report)}
${renderLimits(report)}
<h2>Budgets</h2>
${renderBudgets(report)}
${renderTimelines(report)}
${renderWhy(report)}
<h2>VMs</h2>
${renderVms(report)}
</body>
</html>
`;
}

function renderSources(report: BurnReport): string {
  return report.isFolded
    ? `Merged from ${report.samples} reports of ${report.vms.length} VM ` +
      `incarnations and ${report.logRequests} requests from logs.`
    : `Figures of ${report.vms.length} VMs.`;
}

function renderFindings(report: BurnReport): string {
  const findings = listFindings(report);
  if (findings.length === 0) {
    return '<p class="note good">No budget burns above a threshold</p>';
  }
  return findings.map((finding) =>
    renderNote(finding, finding.isCritical ? "alert" : "warning")
  ).join("\n");
}

function renderLimits(report: BurnReport): string {
  const limits = listLimits(report);
  return limits.map((limit) =>
    renderNote(limit, limit.isCritical ? "warning" : "")
  )
    .join("\n");
}

function renderNote(note: BurnNote, style: string): string {
  return `<p class="note ${style}">${toHtmlText(note.text)}</p>`;
}

/** One cell of a table. */
interface Cell {
  text: string;
  style?: string;
  isCode?: boolean;
}

function renderTable(
  headers: readonly { text: string; isNumber?: boolean }[],
  rows: readonly (readonly Cell[])[],
): string {
  const head = headers.map(({ text, isNumber }) =>
    `<th${isNumber ? ' class="number"' : ""}>${toHtmlText(text)}</th>`
  ).join("");
  const body = rows.map((cells) =>
    `<tr>${
      cells.map((cell, column) => renderCell(cell, headers[column]!)).join("")
    }</tr>`
  ).join("\n");
  return `<div class="scroll">\n<table>\n<thead><tr>${head}</tr></thead>\n` +
    `<tbody>\n${body}\n</tbody>\n</table>\n</div>`;
}

function renderCell(
  cell: Cell,
  head: { text: string; isNumber?: boolean },
): string {
  const style = [head.isNumber ? "number" : "", cell.style ?? ""]
    .join(" ").trim();
  const text = `<bdi>${toHtmlText(cell.text)}</bdi>`;
  const content = cell.isCode ? `<code>${text}</code>` : text;
  return `<td class="${style}" data-label="${toHtmlText(head.text)}">` +
    `${content}</td>`;
}

function renderBudgets(report: BurnReport): string {
  const longest = report.windows.at(-1)!.name;
  const headers = [
    { text: "Class" },
    { text: "Workspace" },
    { text: "Tier" },
    { text: "Objective", isNumber: true },
    { text: `Counted ${longest}`, isNumber: true },
    { text: `Bad ${longest}`, isNumber: true },
    { text: "Budget left", isNumber: true },
    ...report.windows.map(({ name, isComplete }) => ({
      text: `Burn ${name}${isComplete ? "" : "*"}`,
      isNumber: true,
    })),
    { text: "First token p95", isNumber: true },
    { text: "Total p95", isNumber: true },
  ];
  const rows = report.rows.map((row): Cell[] => [
    { text: row.className },
    { text: formatWorkspace(row, report) },
    { text: row.tier ?? UNKNOWN },
    {
      text: row.objective === undefined ? UNKNOWN : formatShare(row.objective),
    },
    { text: String(row.windows.at(-1)!.counted) },
    { text: String(row.windows.at(-1)!.bad) },
    buildBudgetCell(row),
    ...row.windows.map((burn) => buildRateCell(row, burn)),
    { text: row.firstToken ? formatDuration(row.firstToken.p95) : UNKNOWN },
    { text: row.total ? formatDuration(row.total.p95) : UNKNOWN },
  ]);
  const marks = report.windows.some(({ isComplete }) => !isComplete)
    ? '<p class="faint">* The window is longer than the data held; the rate ' +
      "covers only that data.</p>"
    : "";
  return `${renderTable(headers, rows)}\n${marks}`;
}

function buildBudgetCell(row: BurnRow): Cell {
  const left = row.budget?.left;
  if (left === undefined) return { text: UNKNOWN };
  return { text: formatShare(left), ...(left < 0 && { style: "alert" }) };
}

/** Highlights a rate if a rule that uses its window fires. */
function buildRateCell(row: BurnRow, burn: WindowBurn): Cell {
  if (burn.burnRate === undefined) return { text: UNKNOWN };
  const firing = BURN_RULES.findIndex((rule, index) =>
    row.rules[index]!.state.startsWith("burning") &&
    (rule.long === burn.window || rule.short === burn.window)
  );
  const style = firing === -1 ? "" : firing === 0 ? "alert" : "warning";
  return { text: burn.burnRate.toFixed(1), style };
}

function renderTimelines(report: BurnReport): string {
  const used = report.rows.filter((row) => row.windows.at(-1)!.counted > 0);
  if (used.length === 0) return "";
  const pastMs = report.windows.at(-1)!.coveredMs;
  const cards = used.slice(0, MAX_PLOTTED_ROWS).map((row) =>
    renderRowCards(row, pastMs)
  );
  const more = used.length > MAX_PLOTTED_ROWS
    ? `<p class="faint">Plots of the worst ${MAX_PLOTTED_ROWS} of ` +
      `${used.length} rows; the table has them all.</p>`
    : "";
  return `<h2>Burn over time</h2>
<p class="faint">A rate of 1 uses up a budget exactly; dashed lines are the
thresholds ${BURN_RULES.map(({ threshold }) => threshold).join(", ")} if
they fit. Shaded times have no counted requests or no data.</p>
${renderLegend(true)}
<div class="${pastMs > HOUR_MS ? "pairs" : "cards"}">
${cards.join("\n")}
</div>
${more}`;
}

function renderLegend(hasEmpty: boolean): string {
  return `<ul class="legend"><li class="late">late</li>
<li class="refused">refused</li><li class="lost">lost</li>${
    hasEmpty ? '\n<li class="empty">no requests or data</li>' : ""
  }</ul>`;
}

function renderRowCards(row: BurnRow, pastMs: number): string {
  const name = toHtmlText(formatRowName(row));
  const cards = [renderCard(`${name}, last hour`, row, {
    points: row.recent,
    spanMs: HOUR_MS,
  })];
  if (pastMs > HOUR_MS) {
    const title = `${name}, last ${formatDuration(pastMs)}`;
    cards.push(renderCard(title, row, { points: row.past, spanMs: pastMs }));
  }
  return `<div class="pair">\n${cards.join("\n")}\n</div>`;
}

function renderCard(
  title: string,
  row: BurnRow,
  options: Parameters<typeof renderTimeline>[1],
): string {
  return `<section class="card"><h3>${title}</h3>
${renderTimeline(row, options)}</section>`;
}

function renderWhy(report: BurnReport): string {
  const span = report.isFolded ? "total" : "lastHour";
  const causes = report.causes.filter((cause) => cause[span] > 0);
  if (causes.length === 0) return "";
  const title = report.isFolded ? "all data held" : "the last hour";
  const cards = CAUSE_DIMENSIONS.filter((dimension) => dimension !== "result")
    .map((dimension) =>
      `<section class="card"><h3>By ${dimension}</h3>
${renderBreakdown(report.breakdown[dimension], span)}</section>`
    );
  return `<h2>Why, in ${title}</h2>
${renderLegend(false)}
<div class="cards">
${cards.join("\n")}
</div>
<h2>Causes, worst first</h2>
<p class="faint"><code>persimmonslip fate ID</code> shows each step of an
example while its VM runs, and from logs after that.</p>
${renderCauses(causes.slice(0, MAX_SHOWN_CAUSES))}`;
}

function renderCauses(causes: BurnReport["causes"]): string {
  const headers = [
    { text: "Class" },
    { text: "Workspace" },
    { text: "Result" },
    { text: "Step" },
    { text: "Pool" },
    { text: "Upstream" },
    { text: "Last hour", isNumber: true },
    { text: "Held", isNumber: true },
    { text: "Examples" },
  ];
  const rows = causes.map((cause): Cell[] => [
    { text: cause.className },
    { text: cause.workspace },
    { text: cause.result },
    { text: cause.step },
    { text: cause.pool || UNKNOWN },
    { text: cause.upstream || UNKNOWN },
    { text: String(cause.lastHour) },
    { text: String(cause.total) },
    { text: cause.examples.join(" ") || UNKNOWN, isCode: true },
  ]);
  return renderTable(headers, rows);
}

function renderVms(report: BurnReport): string {
  const headers = [
    { text: "VM" },
    { text: "Incarnation" },
    { text: "Lived", isNumber: true },
    { text: "Held", isNumber: true },
  ];
  const found = report.vms.map((vm): Cell[] => [
    { text: vm.vm },
    { text: vm.incarnation, isCode: true },
    { text: formatDuration(vm.gatheredMs) },
    { text: formatDuration(vm.reachMs) },
  ]);
  const missing = report.missing.map(({ vm, why }): Cell[] => [
    { text: vm, style: "alert" },
    { text: `not reached: ${why}` },
    { text: UNKNOWN },
    { text: UNKNOWN },
  ]);
  return renderTable(headers, [...found, ...missing]);
}
