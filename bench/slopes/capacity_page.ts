/**
 * Renders the tables of docs/CAPACITY.md from the saved figures.
 *
 * @module
 */
import { renderMarkdownTable } from "./markdown_table.ts";
import {
  buildDataPath,
  computeTotal,
  type Cost,
  listRoleCosts,
  type RoleCost,
} from "./role_costs.ts";
import { computeAt, type Slope } from "./slope.ts";
import type { SlopeFile } from "./slope_file.ts";
import { computeShare, LIMITS, TARGET } from "./target.ts";

const MS_PER_PERCENT = 10;
const BYTES_PER_KB = 1_000;
const SECONDS_PER_MINUTE = 60;
/**
 * Data centres of the virtual fleet whose calls to the service were counted.
 */
const MEASURED_DATA_CENTRES = 4;
const WATCHERS = 2;
/** The watch and the fetch of the changed group. */
const CALLS_FOR_CHANGE = 2;

/** Returns `page` with the tables between its markers rendered from `file`. */
export function renderPage(page: string, file: SlopeFile): string {
  const tables: Record<string, string> = {
    run: renderRun(file),
    share: renderShare(),
    duties: renderRoleCosts(file),
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
  if (from < 0 || to < from) throw new Error(`No markers for table ${name}`);
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

function renderRoleCosts(file: SlopeFile): string {
  const costs = listRoleCosts(file);
  const rows = costs.map((cost) => renderRoleCost(cost));
  const total: RoleCost = {
    role: "**All control**",
    mechanism: "",
    mean: computeTotal(costs.map(({ mean }) => mean)),
    busiest: computeTotal(costs.map(({ busiest }) => busiest)),
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
    renderRoleCost(total),
    renderRoleCost(buildDataPath(file)),
  ]);
}

function renderRoleCost(
  { role, mechanism, mean, busiest }: RoleCost,
): string[] {
  return [
    role,
    mechanism,
    formatNumber(mean.calls),
    formatPercent(mean),
    formatNumber(mean.bytes / BYTES_PER_KB),
    formatNumber(mean.memoryMib),
    formatPercent(busiest),
    formatNumber(busiest.bytes / BYTES_PER_KB),
  ];
}

function renderLimits(file: SlopeFile): string {
  const costs = listRoleCosts(file);
  const mean = computeTotal(costs.map((cost) => cost.mean));
  const busiest = computeTotal(costs.map((cost) => cost.busiest));
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
      busiest.processorMs / MS_PER_PERCENT,
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
      busiest.bytes / BYTES_PER_KB,
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

/** Computes the calls of the whole fleet per second. */
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

/** Formats with three significant digits and no exponent. */
function formatNumber(value: number): string {
  if (value === 0) return "0";
  const magnitude = Math.floor(Math.log10(Math.abs(value)));
  const decimals = Math.min(6, Math.max(0, 2 - magnitude));
  const text = value.toFixed(decimals);
  return decimals === 0 ? text : text.replace(/\.?0+$/, "");
}
