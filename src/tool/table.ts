/**
 * Plain text tables.
 *
 * @module
 */

const COLUMN_GAP = "  ";
const NUMERIC = /^-?[\d.,]+(?:%|[a-z]+)?$/;

/**
 * Renders `rows` as a table with the column headers `headers`. Columns whose
 * non-empty cells are all numbers are right-aligned.
 */
export function renderTable(
  headers: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const widths = headers.map((header, column) =>
    Math.max(header.length, ...rows.map((row) => (row[column] ?? "").length))
  );
  const isRight = headers.map((_, column) => isNumericColumn(rows, column));
  const lines = [headers, ...rows].map((row) =>
    headers.map((_, column) => {
      const cell = row[column] ?? "";
      const width = widths[column]!;
      return isRight[column] ? cell.padStart(width) : cell.padEnd(width);
    }).join(COLUMN_GAP).trimEnd()
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

/** Formats a share as a percentage with one decimal. */
export function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

/** Formats a duration in ms, s, min or h, depending on its size. */
export function formatDuration(ms: number): string {
  if (ms < 1_000) return `${Math.round(ms)}ms`;
  if (ms < 60_000) return `${(ms / 1_000).toFixed(1)}s`;
  if (ms < 3_600_000) return `${(ms / 60_000).toFixed(1)}min`;
  return `${(ms / 3_600_000).toFixed(1)}h`;
}
