/**
 * Tables as the formatter leaves them.
 *
 * @module
 */
const LEAST_WIDTH = 3;

/** A Markdown table whose first row is its head. */
export function renderMarkdownTable(rows: readonly string[][]): string {
  const [head, ...body] = rows;
  const widths = head!.map((_, column) => {
    const lengths = rows.map((row) => row[column]!.length);
    return Math.max(LEAST_WIDTH, ...lengths);
  });
  const dashes = widths.map((width) => "-".repeat(width));
  return [head!, dashes, ...body]
    .map((row) => renderRow(row, widths))
    .join("\n");
}

function renderRow(
  row: readonly string[],
  widths: readonly number[],
): string {
  const cells = row.map((cell, column) => cell.padEnd(widths[column]!));
  return `| ${cells.join(" | ")} |`;
}
