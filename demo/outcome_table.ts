/**
 * The demo's table: outcomes per request class.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Account } from "./callers.ts";

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

/** Counts the accounts and lays them out, a line a class and the total. */
export function renderOutcomes(
  accounts: readonly Account[],
  totalTargets: ReadonlyMap<string, number>,
): string {
  const rows = new Map<string, Counts>();
  const total = buildCounts();
  for (const account of accounts) {
    const { className } = account.request;
    const row = rows.get(className) ?? buildCounts();
    rows.set(className, row);
    const target = totalTargets.get(className) ?? Infinity;
    for (const column of listColumns(account, target)) {
      row[column]++;
      total[column]++;
    }
  }
  rows.set(TOTAL_ROW, total);
  return formatRows(rows);
}

/** Refusals by class and code, the most frequent first; empty without any. */
export function renderRefusals(accounts: readonly Account[]): string {
  const counts = new Map<string, number>();
  for (const { request, outcome } of accounts) {
    if (outcome.kind !== "refused") continue;
    const cause = `${request.className} ${outcome.code} (${outcome.outcome})`;
    counts.set(cause, (counts.get(cause) ?? 0) + 1);
  }
  return [...counts]
    .sort(([, left], [, right]) => right - left)
    .map(([cause, count]) => `${count} ${cause}`)
    .join(", ");
}

/** Late answers count as answered too. */
function listColumns(account: Account, targetMs: number): Column[] {
  return match(account.outcome)
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
