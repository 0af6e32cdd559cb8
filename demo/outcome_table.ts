/**
 * The demo's table of outcomes per request class.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestResult } from "./callers.ts";

const COLUMNS = [
  "sent",
  "answered",
  "not_run",
  "ran",
  "unknown",
  "late",
  "cancelled",
  "unaccounted",
] as const;
const CLASS_COLUMN = "class";
const TOTAL_ROW = "total";
const GAP = "  ";

type Column = typeof COLUMNS[number];
type Counts = Record<Column, number>;

/** Renders the number of outcomes per class and in total. */
export function renderOutcomes(
  results: readonly RequestResult[],
  totalTargets: ReadonlyMap<string, number>,
): string {
  const rows = new Map<string, Counts>();
  const total = buildCounts();
  for (const result of results) {
    const { className } = result.request;
    const row = rows.get(className) ?? buildCounts();
    rows.set(className, row);
    const target = totalTargets.get(className) ?? Infinity;
    for (const column of listColumns(result, target)) {
      row[column]++;
      total[column]++;
    }
  }
  rows.set(TOTAL_ROW, total);
  return formatRows(rows);
}

/**
 * Renders refusals by class and code, most frequent first; empty if there are
 * none.
 */
export function renderRefusals(results: readonly RequestResult[]): string {
  const counts = new Map<string, number>();
  for (const { request, outcome } of results) {
    if (outcome.kind !== "refused") continue;
    const cause = `${request.className} ${outcome.code} (${outcome.outcome})`;
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts]
    .sort(([, left], [, right]) => right - left)
    .map(([cause, count]) => `${count} ${cause}`)
    .join(", ");
}

/**
 * Lists the columns that count a result; late answers also count as answered.
 */
function listColumns(result: RequestResult, targetMs: number): Column[] {
  return match(result.outcome)
    .returnType<Column[]>()
    .with(
      { kind: "answered" },
      ({ totalMs }) =>
        totalMs > targetMs
          ? ["sent", "answered", "late"]
          : ["sent", "answered"],
    )
    .with({ kind: "refused" }, ({ outcome }) => ["sent", outcome])
    .with({ kind: "lost" }, ({ outcome }) => ["sent", outcome])
    .with({ kind: "cancelled" }, () => ["sent", "cancelled"])
    .with({ kind: "unaccounted" }, () => ["sent", "unaccounted"])
    .exhaustive();
}

function buildCounts(): Counts {
  return {
    sent: 0,
    answered: 0,
    not_run: 0,
    ran: 0,
    unknown: 0,
    late: 0,
    cancelled: 0,
    unaccounted: 0,
  };
}

function formatRows(rows: ReadonlyMap<string, Counts>): string {
  const names = [CLASS_COLUMN, ...rows.keys()];
  const width = Math.max(...names.map((name) => name.length));
  const header = [CLASS_COLUMN.padEnd(width), ...COLUMNS].join(GAP);
  const lines = [...rows].map(([name, counts]) =>
    [
      name.padEnd(width),
      ...COLUMNS.map((column) =>
        String(counts[column]).padStart(column.length)
      ),
    ].join(GAP)
  );
  return [header, ...lines].join("\n");
}
