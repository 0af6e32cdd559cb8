/**
 * Writes the tables of docs/CAPACITY.md from the saved figures.
 *
 * @module
 */
import { renderMarkdownTable } from "./markdown_table.ts";
import {
  buildDataPath,
  computeTotal,
  type Cost,
  type Duty,
  listDuties,
} from "./duties.ts";
import { computeAt, type Slope } from "./slope.ts";
import type { SlopeFile } from "./slope_file.ts";
import { computeShare, LIMITS, TARGET } from "./target.ts";

const MS_PER_PERCENT = 10;
const BYTES_PER_KB = 1_000;
const SECONDS_PER_MINUTE = 60;
/** Of the virtual fleet in which the calls to the service were counted. */
const MEASURED_DATA_CENTRES = 4;
const WATCHERS = 2;
/** An answered watch and the group that it tells of. */
const CALLS_FOR_CHANGE = 2;

/** `page` with every table between its marks made anew from `file`. */
export function renderPage(page: string, file: SlopeFile): string {
  const tables: Record<string, string> = {
    run: renderRun(file),
    share: renderShare(),
    duties: renderDuties(file),
    limits: renderLimits(file),
    slopes: renderSlopes(file),
    checks: renderChecks(file),
  };
  let text = page;
  for (const [name, table] of Object.entries(tables)) {
    text = replaceBlock(text, name, table);
  }
  return text;
}

function replaceBlock(page: string, name: string, table: string): string {
  const begin = `<!-- begin ${name} -->`;
  const end = `<!-- end ${name} -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) throw new Error(`No place for table ${name}`);
  const head = page.slice(0, from + begin.length);
  return `${head}\n\n${table}\n\n${page.slice(to)}`;
}

function renderRun(file: SlopeFile): string {
  return renderMarkdownTable([
    ["of the run", ""],
    ["command", `\`${file.command}\``],
    ["commit", file.commit],
    ["seed of the virtual fleets", String(file.seed)],
    ["machine", `${file.cores} cores, Node ${file.node}, loopback`],
  ]);
}

function renderShare(): string {
  const share = computeShare();
  return renderMarkdownTable([
    ["on one VM", "figure"],
    ["requests a second", formatNumber(share.requests)],
    ["tokens a second", formatNumber(share.tokens)],
    ["open streams, at 37 ms a token", formatNumber(share.streams)],
    ["syncs of one request's lease", String(share.syncs)],
    ["shards of the fleet", String(share.shards)],
    ["replicas owned, average VM", formatNumber(share.replicas)],
    ["replicas owned, busiest VM", String(share.mostReplicas)],
    ["shards owned, busiest VM", String(share.mostShards)],
    [
      "changes of the configuration a second",
      formatNumber(
        share.changesPerSecond,
      ),
    ],
    ["changes of the list a second", formatNumber(share.listsPerSecond)],
  ]);
}

function renderDuties(file: SlopeFile): string {
  const duties = listDuties(file);
  const rows = duties.map((duty) => renderDuty(duty));
  const total: Duty = {
    role: "**All control**",
    mechanism: "",
    mean: computeTotal(duties.map(({ mean }) => mean)),
    most: computeTotal(duties.map(({ most }) => most)),
  };
  return renderMarkdownTable([
    [
      "role",
      "mechanism",
      "calls/s",
      "% of a core",
      "KB/s",
      "MiB",
      "busiest VM: % of a core",
      "KB/s",
    ],
    ...rows,
    renderDuty(total),
    renderDuty(buildDataPath(file)),
  ]);
}

function renderDuty({ role, mechanism, mean, most }: Duty): string[] {
  return [
    role,
    mechanism,
    formatNumber(mean.calls),
    formatPercent(mean),
    formatNumber(mean.bytes / BYTES_PER_KB),
    formatNumber(mean.memoryMib),
    formatPercent(most),
    formatNumber(most.bytes / BYTES_PER_KB),
  ];
}

function renderLimits(file: SlopeFile): string {
  const duties = listDuties(file);
  const mean = computeTotal(duties.map((duty) => duty.mean));
  const most = computeTotal(duties.map((duty) => duty.most));
  const memory = mean.memoryMib + buildDataPath(file).mean.memoryMib;
  const rows: [string, number, number, string][] = [
    [
      "processor, average VM",
      mean.processorMs / MS_PER_PERCENT,
      LIMITS.processorMs / MS_PER_PERCENT,
      "% of a core",
    ],
    [
      "processor, busiest VM",
      most.processorMs / MS_PER_PERCENT,
      LIMITS.processorMs / MS_PER_PERCENT,
      "% of a core",
    ],
    [
      "bytes, average VM",
      mean.bytes / BYTES_PER_KB,
      LIMITS.bytes / BYTES_PER_KB,
      "KB/s",
    ],
    [
      "bytes, busiest VM",
      most.bytes / BYTES_PER_KB,
      LIMITS.bytes / BYTES_PER_KB,
      "KB/s",
    ],
    [
      "memory, whole process with its streams",
      memory,
      LIMITS.memoryMib,
      "MiB",
    ],
    [
      "calls to the configuration service",
      computeServiceCalls(file),
      LIMITS.serviceCalls,
      "calls/s",
    ],
  ];
  return renderMarkdownTable([
    ["limit", "worked out", "allowed", "unit", "kept"],
    ...rows.map(([name, value, allowed, unit]) => [
      name,
      formatNumber(value),
      formatNumber(allowed),
      unit,
      value <= allowed
        ? "yes"
        : `**no, ${(value / allowed).toFixed(1)} times**`,
    ]),
  ]);
}

/** Of the whole fleet, a second. */
function computeServiceCalls(file: SlopeFile): number {
  const slope = file.slopes.find(({ name }) => {
    return name === "configuration service: calls";
  })!;
  const idle = computeAt(slope, TARGET.vms) / SECONDS_PER_MINUTE *
    TARGET.dataCentres / MEASURED_DATA_CENTRES;
  const changes = computeShare().changesPerSecond * CALLS_FOR_CHANGE *
    WATCHERS * TARGET.dataCentres;
  return idle + changes;
}

function renderSlopes(file: SlopeFile): string {
  const rows = file.slopes.map((slope) => [
    slope.name,
    `${slope.size}: ${slope.points.map(([size]) => size).join(", ")}`,
    slope.points.map(([, value]) => formatNumber(value)).join(", "),
    slope.unit,
    formatLine(slope),
    `${(slope.residual * 100).toFixed(1)}%`,
  ]);
  return renderMarkdownTable([
    ["measured", "sizes", "figures", "unit", "line", "residual"],
    ...rows,
  ]);
}

function renderChecks(file: SlopeFile): string {
  const rows = Object.entries(file.checks).map(([name, value]) => {
    const at = name.lastIndexOf(" at ");
    const slope = file.slopes.find((one) => one.name === name.slice(0, at))!;
    return [
      name,
      formatNumber(computeAt(slope, TARGET.vms)),
      formatNumber(value),
      slope.unit,
    ];
  });
  return renderMarkdownTable([
    ["figure", "by the line", "measured", "unit"],
    ...rows,
  ]);
}

function formatLine({ start, slope }: Slope): string {
  const sign = slope < 0 ? "−" : "+";
  return `${formatNumber(start)} ${sign} ${formatNumber(Math.abs(slope))} n`;
}

function formatPercent({ processorMs }: Cost): string {
  return formatNumber(processorMs / MS_PER_PERCENT);
}

/** Three digits, without an exponent. */
function formatNumber(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.floor(Math.log10(Math.abs(value)));
  const decimals = Math.min(6, Math.max(0, 2 - magnitude));
  const text = value.toFixed(decimals);
  return decimals === 0 ? text : text.replace(/\.?0+$/, "");
}
