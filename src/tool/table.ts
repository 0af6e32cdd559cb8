/**
 * Plain text tables.
 *
 * @module
 */

const GAP = "  ";
const NUMERIC = /^-?[\d.,]+(?:%|[a-z]+)?$/;

/**
 * Lines up `rows` under `heads`. A column in which every filled cell is a
 * number is lined up on the right.
 */
export function renderTable(
  heads: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = heads.map((head, column) =>
    Math.max(head.length, ...rows.map((row) => (row[column] ?? "").length))
  );
  const isRight = heads.map((_, column) => isNumericColumn(rows, column));
  const lines = [heads, ...rows].map((row) =>
    heads.map((_, column) => {
      const cell = row[column] ?? "";
      const width = widths[column]!;
      return isRight[column] ? cell.padStart(width) : cell.padEnd(width);
    }).join(GAP).trimEnd()
  );
  return lines.map((line) => `${line}\n`).join("");
}

function isNumericColumn(
  rows: readonly (readonly string[])[],
  column: number,
): boolean {
  const cells = rows.map((row) => row[column] ?? "").filter((cell) => cell);
  return cells.length > 0 && cells.every((cell) => NUMERIC.test(cell));
}

/** A share as a percentage with one decimal. */
export function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

/** A duration in the unit that reads best. */
export function formatDuration(ms: number): string {
  if (ms < 1_000) return `${Math.round(ms)}ms`;
  if (ms < 60_000) return `${(ms / 1_000).toFixed(1)}s`;
  if (ms < 3_600_000) return `${(ms / 60_000).toFixed(1)}min`;
  return `${(ms / 3_600_000).toFixed(1)}h`;
}
