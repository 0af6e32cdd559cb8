/**
 * Plots of the burn report as SVG text, drawn by Observable Plot on a document
 * that exists in memory alone.
 *
 * @module
 */
import * as Plot from "@observablehq/plot";
import { parseHTML } from "linkedom";
import type { BurnCause } from "../../process/burn_stats.ts";
import type { CauseShare } from "./burn_causes.ts";
import type { BurnRow, TimelinePoint } from "./burn_rows.ts";
import { BURN_RULES, computeCounted } from "./burn_rules.ts";
import { toPlainText } from "./clean_text.ts";

/** Narrow enough for a phone, so that letters need not shrink there. */
const WIDTH = 320;
const TIMELINE_HEIGHT = 150;
const BAR_HEIGHT = 22;
const BAR_MARGIN = 28;
const LABEL_MARGIN = 112;
const MAX_LABEL_LENGTH = 17;
const SHOWN_BARS = 8;
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const TICKS = 4;

const BAD_RESULTS: readonly BurnCause["result"][] = ["late", "refused", "lost"];
/** The page sets these for light and dark. */
const COLOURS = {
  domain: [...BAD_RESULTS],
  range: BAD_RESULTS.map((result) => `var(--${result})`),
};
const EMPTY_COLOUR = "var(--empty)";
const PACE_COLOUR = "var(--muted)";
const STYLE = { fontSize: "11px", background: "none", overflow: "visible" };

/** One bar of a timeline. */
interface TimelineBar {
  from: number;
  to: number;
  value: number;
  result: BurnCause["result"];
}

/** Draws the burn rate of each step, or the share of bad requests where the
 * row has no objective. `spanMs` is how far back the plot goes. */
export function renderTimeline(
  row: BurnRow,
  { points, spanMs }: { points: readonly TimelinePoint[]; spanMs: number },
): string {
  const unit = pickUnit(spanMs);
  const budget = row.objective === undefined ? 1 : 1 - row.objective;
  const shown = points.filter(({ toAgoMs }) => toAgoMs < spanMs);
  const top = computeTop(shown, budget);
  const thresholds = row.objective === undefined
    ? []
    : BURN_RULES.map(({ threshold }) => threshold)
      .filter((threshold) => threshold <= top);
  return renderPlot({
    width: WIDTH,
    height: TIMELINE_HEIGHT,
    marginLeft: 36,
    marginRight: 14,
    marginTop: 22,
    marginBottom: 26,
    x: {
      domain: [-spanMs / unit.ms, 0],
      ticks: TICKS,
      tickFormat: (ago: number) => ago === 0 ? "now" : `${-ago} ${unit.name}`,
      label: null,
    },
    y: {
      domain: [0, top],
      ticks: TICKS,
      grid: true,
      label: row.objective === undefined ? "share bad" : "burn rate",
    },
    color: COLOURS,
    marks: [
      buildEmptyMark(shown, { unit, top }),
      buildBarMark(shown.flatMap((point) => listBars(point, { budget, unit }))),
      Plot.ruleY(thresholds, { stroke: PACE_COLOUR, strokeDasharray: "4 3" }),
      Plot.ruleY([0]),
    ],
  });
}

/** Shades the steps in which no request was counted. */
function buildEmptyMark(
  points: readonly TimelinePoint[],
  { unit, top }: { unit: { ms: number }; top: number },
): Plot.Markish {
  const empty = points.filter(({ counts }) => computeCounted(counts) === 0);
  return Plot.rectY(empty, {
    x1: (point: TimelinePoint) => -point.fromAgoMs / unit.ms,
    x2: (point: TimelinePoint) => -point.toAgoMs / unit.ms,
    y1: 0,
    y2: top,
    fill: EMPTY_COLOUR,
    // Without it the seams between neighbours show as stripes.
    shapeRendering: "crispEdges",
  });
}

function buildBarMark(bars: readonly TimelineBar[]): Plot.Markish {
  return Plot.rectY(
    bars,
    Plot.stackY({
      x1: "from",
      x2: "to",
      y: "value",
      fill: "result",
      order: [...BAD_RESULTS],
      insetLeft: 0.5,
    }),
  );
}

/** Draws what is bad by one property, the worst on top. */
export function renderBreakdown(
  found: readonly CauseShare[],
  span: "lastHour" | "total",
): string {
  const shares = found.filter((share) => share[span] > 0)
    .toSorted((left, right) => right[span] - left[span])
    .slice(0, SHOWN_BARS);
  const labels = listLabels(shares);
  const bars = shares.flatMap((share, index) =>
    BAD_RESULTS.map((result) => ({
      label: labels[index]!,
      count: share.byResult[result][span],
      result,
    }))
  );
  return renderPlot({
    width: WIDTH,
    height: BAR_MARGIN + BAR_HEIGHT * shares.length,
    marginLeft: LABEL_MARGIN,
    marginRight: 40,
    marginTop: 6,
    marginBottom: 20,
    x: { ticks: TICKS, grid: true, label: null },
    y: { domain: labels, label: null, tickSize: 0 },
    color: COLOURS,
    marks: [
      Plot.barX(
        bars,
        Plot.stackX({
          x: "count",
          y: "label",
          fill: "result",
          order: [...BAD_RESULTS],
        }),
      ),
      Plot.text(shares, {
        x: (share: CauseShare) => share[span],
        y: (_: CauseShare, index: number) => labels[index]!,
        text: (share: CauseShare) => String(share[span]),
        textAnchor: "start",
        dx: 4,
      }),
      Plot.ruleX([0]),
    ],
  });
}

function renderPlot(options: Plot.PlotOptions): string {
  const { document } = parseHTML("<!doctype html><html><body></body></html>");
  const drawn = Plot.plot({
    ...options,
    document: document as never,
    className: "plot",
    style: STYLE,
  });
  return String((drawn as unknown as { outerHTML: string }).outerHTML);
}

function pickUnit(spanMs: number): { name: string; ms: number } {
  if (spanMs <= 2 * HOUR_MS) return { name: "min", ms: MINUTE_MS };
  if (spanMs <= 4 * DAY_MS) return { name: "h", ms: HOUR_MS };
  return { name: "d", ms: DAY_MS };
}

function listBars(
  point: TimelinePoint,
  { budget, unit }: { budget: number; unit: { ms: number } },
): TimelineBar[] {
  const counted = computeCounted(point.counts);
  if (counted === 0) return [];
  return BAD_RESULTS.filter((result) => point.counts[result] > 0)
    .map((result) => ({
      from: -point.fromAgoMs / unit.ms,
      to: -point.toAgoMs / unit.ms,
      value: point.counts[result] / counted / budget,
      result,
    }));
}

/** The top of the scale; a quiet row shows the pace that the budget allows. */
function computeTop(
  points: readonly TimelinePoint[],
  budget: number,
): number {
  const rates = points.map(({ counts }) => {
    const counted = computeCounted(counts);
    return counted === 0 ? 0 : (counted - counts.met) / counted / budget;
  });
  return Math.max(budget === 1 ? 0.1 : 1.2, ...rates);
}

/** Two long names may be cut to the same label; a bar each needs its own. */
function listLabels(shares: readonly CauseShare[]): string[] {
  const labels: string[] = [];
  for (const { value } of shares) {
    const text = toPlainText(value) || "(none)";
    const short = text.length > MAX_LABEL_LENGTH
      ? `${text.slice(0, MAX_LABEL_LENGTH - 1)}…`
      : text;
    let label = short;
    for (let copy = 2; labels.includes(label); copy++) {
      label = `${short} (${copy})`;
    }
    labels.push(label);
  }
  return labels;
}
