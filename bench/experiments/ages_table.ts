/**
 * Renders the comparison of ages and clock times as a table.
 *
 * @module
 */
import type { AgesFigures } from "./ages.ts";
import type { PairCount } from "./grant_order.ts";

const HEAD = [
  "order",
  "one way",
  "times sent",
  "out of order",
  "met",
  "late refusals",
  "too early",
  "doubtful",
  "tokens/s",
];

/** Renders a Markdown table with one row per variant, summed over its seeds. */
export function renderAges(runs: readonly AgesFigures[]): string {
  const groups = new Map<string, AgesFigures[]>();
  for (const run of runs) {
    const { mode, delay, form } = run.options;
    const key = [mode, formatDelay(delay), formatForm(form)].join("|");
    groups.set(key, [...(groups.get(key) ?? []), run]);
  }
  const rows = [...groups].map(([key, group]) => [
    ...key.split("|"),
    formatPairs(group),
    formatMet(group),
    ...formatRefusals(group),
    String(Math.round(
      group.reduce((sum, run) => sum + run.goodput, 0) / group.length,
    )),
  ]);
  return [HEAD, HEAD.map(() => "---"), ...rows]
    .map((row) => `| ${row.join(" | ")} |\n`)
    .join("");
}

function formatDelay(
  { fromMs, toMs }: AgesFigures["options"]["delay"],
): string {
  return fromMs === toMs ? `${fromMs} ms` : `${fromMs} to ${toMs} ms`;
}

function formatForm(form: AgesFigures["options"]["form"]): string {
  return form === "ages" ? "ages" : `clock, ±${form / 1_000} s`;
}

function formatPairs(group: readonly AgesFigures[]): string {
  const sum: PairCount = { pairs: 0, outOfOrder: 0 };
  for (const { options, byClass, byWorkspace } of group) {
    const one = options.mode === "first_come" ? byClass : byWorkspace;
    sum.pairs += one.pairs;
    sum.outOfOrder += one.outOfOrder;
  }
  return formatShare(sum.outOfOrder, sum.pairs, 2);
}

/**
 * Formats the share of requests that met their targets, for each class in which
 * not all did.
 */
function formatMet(group: readonly AgesFigures[]): string {
  const parts = Object.keys(group[0]!.classes).flatMap((name) => {
    const counts = group.map((run) => run.classes[name]!);
    const met = counts.reduce((sum, one) => sum + one.met, 0);
    const offered = counts.reduce((sum, one) => sum + one.offered, 0);
    return met === offered ? [] : [`${name} ${formatShare(met, offered, 1)}`];
  });
  return parts.length === 0 ? "all" : parts.join(", ");
}

function formatRefusals(group: readonly AgesFigures[]): string[] {
  const sum = { all: 0, tooEarlyInQueue: 0, doubtfulOnComing: 0 };
  for (const { lateRefusals } of group) {
    sum.all += lateRefusals.all;
    sum.tooEarlyInQueue += lateRefusals.tooEarlyInQueue;
    sum.doubtfulOnComing += lateRefusals.doubtfulOnComing;
  }
  return Object.values(sum).map(String);
}

function formatShare(part: number, whole: number, digits: number): string {
  return `${(100 * part / Math.max(1, whole)).toFixed(digits)} %`;
}
