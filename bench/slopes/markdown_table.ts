/**
 * Renders Markdown tables in the formatter's layout.
 *
 * @module
 */
const MIN_WIDTH = 3;

/** Renders a Markdown table; the first row is the header. */
export function renderMarkdownTable(rows: readonly string[][]): string {
  const [head, ...body] = rows;
  const widths = head!.map((_, column) => {
    const lengths = rows.map((row) => row[column]!.length);
    return Math.max(MIN_WIDTH, ...lengths);
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
