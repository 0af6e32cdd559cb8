/**
 * Renders the plots of the burn report as SVG text, using Observable Plot with
 * an in-memory document.
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

/** Plot width in pixels; fits a phone without scaling down the text. */
const WIDTH = 320;
const TIMELINE_HEIGHT = 150;
const BAR_HEIGHT = 22;
const BAR_MARGIN = 28;
const LABEL_MARGIN = 112;
const MAX_LABEL_LENGTH = 17;
const MAX_SHOWN_BARS = 8;
const MINUTE_MS = 60_000;
const HOUR_MS = 60 * MINUTE_MS;
const DAY_MS = 24 * HOUR_MS;
const TICK_COUNT = 4;

const BAD_RESULTS: readonly BurnCause["result"][] = ["late", "refused", "lost"];
/** CSS variables that the page defines for light and dark mode. */
const COLOURS = {
  domain: [...BAD_RESULTS],
  range: BAD_RESULTS.map((result) => `var(--${result})`),
};
const EMPTY_COLOUR = "var(--empty)";
const THRESHOLD_COLOUR = "var(--muted)";
const STYLE = { fontSize: "11px", background: "none", overflow: "visible" };

/** One bar segment of a timeline; `from` and `to` are on the x axis. */
interface TimelineBar {
  from: number;
  to: number;
  value: number;
  result: BurnCause["result"];
}

/**
 * Renders the burn rate of each step, or the share of bad requests if the row
 * has no objective. `spanMs` is the time span of the plot.
 */
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
      ticks: TICK_COUNT,
      tickFormat: (ago: number) => ago === 0 ? "now" : `${-ago} ${unit.name}`,
      label: null,
    },
    y: {
      domain: [0, top],
      ticks: TICK_COUNT,
      grid: true,
      label: row.objective === undefined ? "share bad" : "burn rate",
    },
    color: COLOURS,
    marks: [
      buildEmptyMark(shown, { unit, top }),
      buildBarMark(shown.flatMap((point) => listBars(point, { budget, unit }))),
      Plot.ruleY(thresholds, {
        stroke: THRESHOLD_COLOUR,
        strokeDasharray: "4 3",
      }),
      Plot.ruleY([0]),
    ],
  });
}

/** Builds the shading of steps without counted requests. */
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
    // Without this, anti-aliased edges between neighbours appear as stripes.
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

/** Renders the bad requests by one property, the worst on top. */
export function renderBreakdown(
  found: readonly CauseShare[],
  span: "lastHour" | "total",
): string {
  const shares = found.filter((share) => share[span] > 0)
    .toSorted((left, right) => right[span] - left[span])
    .slice(0, MAX_SHOWN_BARS);
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
    x: { ticks: TICK_COUNT, grid: true, label: null },
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

/**
 * Computes the top of the y axis. It is at least 1.2, so that a burn rate of 1
 * is visible, or 0.1 for the share of bad requests.
 */
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

/** Truncates labels; numbers equal ones, since each bar needs its own label. */
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
