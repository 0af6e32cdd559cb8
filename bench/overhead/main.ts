/**
 * Measures the overhead of the router compared with a direct connection and a
 * bare HTTP proxy to the same stand-in engine:
 * `npm run overhead -- --json --save FILE`.
 *
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import yargs from "yargs";
import { hideBin } from "yargs/helpers";
import { ChildProcessGroup } from "../../demo/child_process_group.ts";
import { DemoFleet } from "../../demo/fleet.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import {
  type CallPath,
  type CpuFigures,
  type FirstTokenFigures,
  type MemoryFigures,
  runCpu,
  runFirstToken,
  runMemory,
} from "./measures.ts";
import { buildOverheadExample, MODEL } from "./overhead_records.ts";
import { buildVmPath, FAST_ENGINE, findOwner, SLOW_ENGINE } from "./rig.ts";

const ROOT = process.cwd();
const FIRST_TOKEN_SAMPLES = 1_500;
const STREAM_LOAD = { streams: 40, tokens: 1_000, rounds: 5 };
const SHORT_LOAD = { streams: 64, tokens: 1, rounds: 40 };
const STREAM_COUNTS = [100, 1_000, 5_000];
const SETTLE_MS = 4_000;
const STOP_MS = 10_000;

/** Results of one run. */
interface OverheadReport {
  commit: string;
  firstToken: FirstTokenFigures[];
  cpuLongStreams: CpuFigures[];
  cpuShortStreams: CpuFigures[];
  memory: MemoryFigures[];
}

interface Rig {
  direct: CallPath;
  pipe: CallPath;
  owner: CallPath;
  other: CallPath;
}

await main();

async function main(): Promise<void> {
  const args = await yargs(hideBin(process.argv))
    .option("json", { type: "boolean", default: false })
    .option("save", {
      type: "string",
      describe: "File to which the figures are written",
    })
    .strict()
    .parseAsync();
  const report = await runAll();
  const text = JSON.stringify(report, undefined, 2);
  if (args.save !== undefined) writeFileSync(args.save, `${text}\n`);
  process.stdout.write(args.json ? `${text}\n` : formatReport(report));
}

async function runAll(): Promise<OverheadReport> {
  const commit = execFileSync("git", ["rev-parse", "--short", "HEAD"])
    .toString().trim();
  const fast = await runWithRig(1, FAST_ENGINE, async (rig) => ({
    firstToken: await runFirstToken(
      [rig.direct, rig.pipe, rig.owner, rig.other],
      FIRST_TOKEN_SAMPLES,
    ),
    cpuLongStreams: await runCpu([rig.pipe, rig.owner], STREAM_LOAD),
    cpuShortStreams: await runCpu([rig.pipe, rig.owner], SHORT_LOAD),
  }));
  const memory = await runWithRig(
    2,
    SLOW_ENGINE,
    (rig) => runMemory(rig.other, STREAM_COUNTS),
  );
  return { commit, ...fast, memory };
}

async function runWithRig<T>(
  engines: number,
  engineOptions: Partial<EngineOptions>,
  measure: (rig: Rig) => Promise<T>,
): Promise<T> {
  const directory = mkdtempSync(join(tmpdir(), "persimmonslip-overhead-"));
  const example = buildOverheadExample(engines);
  const fleet = DemoFleet.create(example, {
    root: ROOT,
    directory,
    engineOptions,
  });
  const children = ChildProcessGroup.create(directory);
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    return await measure(await buildRig(fleet, children));
  } finally {
    await children.stop(children.listAlive(), STOP_MS);
    const problems = await fleet.stop();
    if (problems.length > 0) process.stderr.write(`${problems.join("\n")}\n`);
    rmSync(directory, { recursive: true });
  }
}

async function buildRig(
  fleet: DemoFleet,
  children: ChildProcessGroup,
): Promise<Rig> {
  const enginePort = fleet.enginePorts[0]!;
  const line = await children.startAndReadLine({
    name: "pipe",
    args: ["--import", "tsx", "bench/overhead/pipe.ts", String(enginePort)],
  });
  const pipePort = (JSON.parse(line) as { port: number }).port;
  const pipePid = children.listAlive()[0]!.pid;
  const owner = await findOwner(fleet);
  const other = fleet.entryVms.find((vm) => vm !== owner)!;
  return {
    direct: buildPath("direct", { port: enginePort }),
    pipe: buildPath("bare pipe", { port: pipePort, pid: pipePid }),
    owner: buildVmPath("VM that owns the shard", owner),
    other: buildVmPath("other VM", other),
  };
}

function buildPath(name: string, at: { port: number; pid?: number }): CallPath {
  return {
    name,
    target: { port: at.port, model: MODEL, key: undefined },
    pid: at.pid,
  };
}

function formatReport(report: OverheadReport): string {
  const direct = report.firstToken[0]!;
  const lines = ["first token (ms)                 p50     p99   +p50   +p99"];
  for (const { way, p50, p99 } of report.firstToken) {
    const added = [p50 - direct.p50, p99 - direct.p99];
    const cells = [p50, p99, ...added].map((value) =>
      value.toFixed(2).padStart(7)
    );
    lines.push(`  ${way.padEnd(28)}${cells.join("")}`);
  }
  lines.push(...formatCpu("long streams", report.cpuLongStreams));
  lines.push(...formatCpu("streams of one token", report.cpuShortStreams));
  lines.push("memory of the other VM");
  const base = report.memory[0]!.residentBytes;
  for (const { streams, residentBytes } of report.memory) {
    const kib = streams === 0 ? 0 : (residentBytes - base) / streams / 1_024;
    const mib = (residentBytes / 1_048_576).toFixed(0);
    lines.push(
      `  ${String(streams).padStart(5)} streams ${mib.padStart(5)} MiB, ` +
        `${kib.toFixed(1)} KiB per stream`,
    );
  }
  return `${lines.join("\n")}\n`;
}

function formatCpu(title: string, figures: readonly CpuFigures[]): string[] {
  const base = figures[0]!.cpuMs / figures[0]!.tokens;
  const lines = [`processor time, ${title}`];
  for (const { way, tokens, requests, cpuMs } of figures) {
    const perToken = cpuMs / tokens;
    lines.push(
      `  ${way.padEnd(24)} ${(perToken * 1_000).toFixed(1)} µs per token ` +
        `(${(perToken / base).toFixed(2)} of the pipe), ` +
        `${(cpuMs / requests).toFixed(2)} ms per request, one core handles ` +
        `${Math.round(1_000 / perToken)} tokens/s or ` +
        `${Math.round(1_000 * requests / cpuMs)} requests/s`,
    );
  }
  return lines;
}
