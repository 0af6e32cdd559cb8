/**
 * Renders the figures of runs as tables for the terminal.
 *
 * @module
 */
import type { RunFigures } from "./figures.ts";

/** Renders one run. */
export function renderFigures(figures: RunFigures): string {
  const { scenario, user, seed, router } = figures;
  const rows = Object.entries(figures.classes).map(([name, one]) => [
    name,
    String(one.offered),
    formatShare(one.attainment),
    String(one.late),
    formatCounts(one.refused),
    String(one.lost + one.vmDestroyed),
    formatMs(one.firstTokenP50Ms),
    formatMs(one.firstTokenP99Ms),
    formatMs(one.longestWaitMs),
    `${formatMs(one.longestStallMs)}/${formatMs(one.maxWaitMs)}`,
  ]);
  const head = [
    "class",
    "offered",
    "met",
    "late",
    "refused",
    "lost",
    "first p50",
    "first p99",
    "wait max",
    "stall/bound",
  ];
  const share = figures.goodput / figures.goodputBound;
  const waste = figures.wastedTokens / Math.max(1, figures.generatedTokens);
  return [
    `${scenario} ${user} seed ${seed}: ${router}`,
    renderTable([head, ...rows]),
    `goodput ${Math.round(figures.goodput)} tokens/s, ` +
    `${formatShare(share)} of the clairvoyant bound; ` +
    `wasted ${Math.round(figures.wastedTokens)} tokens ` +
    `(${formatShare(waste)}); ` +
    `${figures.sendsPerRequest.toFixed(3)} attempts per request; ` +
    `${figures.preemptions} preemptions`,
    `guarantees violated: ${formatCounts(figures.broken)}`,
    ...figures.brokenExamples.map((line) => `  ${line}`),
    "",
  ].join("\n");
}

/** Renders the changes between two runs of the same scenario. */
export function renderComparison(
  before: RunFigures,
  after: RunFigures,
): string {
  const rows = Object.entries(after.classes).map(([name, one]) => {
    const old = before.classes[name];
    return [
      name,
      formatChange(old?.attainment ?? 0, one.attainment, formatShare),
      formatChange(old?.firstTokenP99Ms ?? 0, one.firstTokenP99Ms, formatMs),
      formatChange(old?.longestWaitMs ?? 0, one.longestWaitMs, formatMs),
    ];
  });
  const head = ["class", "met", "first p99", "wait max"];
  return [
    `${after.scenario} ${after.user}: ` +
    `${before.router} (seed ${before.seed}) to ` +
    `${after.router} (seed ${after.seed})`,
    renderTable([head, ...rows]),
    `goodput ${formatChange(before.goodput, after.goodput, formatCount)}; ` +
    `wasted ${
      formatChange(before.wastedTokens, after.wastedTokens, formatCount)
    }; violations ${formatCounts(before.broken)} to ${
      formatCounts(after.broken)
    }`,
    "",
  ].join("\n");
}

function renderTable(rows: readonly string[][]): string {
  const widths = rows[0]!.map((_, column) =>
    Math.max(...rows.map((row) => row[column]!.length))
  );
  return rows
    .map((row) =>
      row.map((cell, column) =>
        column === 0
          ? cell.padEnd(widths[column]!)
          : cell.padStart(widths[column]!)
      ).join("  ")
    )
    .join("\n");
}

function formatChange(
  before: number,
  after: number,
  format: (value: number) => string,
): string {
  return `${format(before)} to ${format(after)}`;
}

function formatShare(share: number): string {
  return `${(share * 100).toFixed(1)}%`;
}

function formatMs(ms: number): string {
  return ms === Infinity ? "never" : String(Math.round(ms));
}

function formatCount(count: number): string {
  return String(Math.round(count));
}

function formatCounts(counts: Record<string, number>): string {
  const parts = Object.entries(counts).map(([name, count]) =>
    `${name} ${count}`
  );
  return parts.length === 0 ? "0" : parts.join(", ");
}
