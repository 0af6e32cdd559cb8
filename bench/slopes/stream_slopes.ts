/**
 * Slopes of requests through real daemons on loopback: processor time per
 * request and token, and memory per open stream.
 *
 * @module
 */
import { mkdirSync, mkdtempSync, rmSync, symlinkSync } from "node:fs";
import { dirname, join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { DemoFleet } from "../../demo/fleet.ts";
import type { EngineOptions } from "../../standin/engine_options.ts";
import { buildDaemon } from "../../test/support/daemon_build.ts";
import { type CallPath, runCpu, runMemory } from "../overhead/measures.ts";
import { buildOverheadExample } from "../overhead/overhead_records.ts";
import {
  buildVmPath,
  FAST_ENGINE,
  findOwner,
  SLOW_ENGINE,
} from "../overhead/rig.ts";
import { buildSlope, type Point, type Slope } from "./slope.ts";

const TOKENS = [1, 100, 400, 1_600];
const STREAMS = 40;
const ROUNDS = 5;
const OPEN_STREAMS = [100, 200, 400, 800];
const SETTLE_MS = 4_000;
const BYTES_PER_KILOBYTE = 1_024;

interface Rig {
  owner: CallPath;
  other: CallPath;
}

/** Measures the VM that owns the shard and one that does not. */
export async function collectStreamSlopes(): Promise<Slope[]> {
  const build = await buildDaemon();
  const parent = join(dirname(build.program), "../../..");
  mkdirSync(parent, { recursive: true });
  const root = mkdtempSync(join(parent, "slopes-"));
  symlinkSync(join(dirname(build.program), "../.."), join(root, "dist"));
  try {
    const processor = await runWithRig(root, FAST_ENGINE, collectProcessor);
    const memory = await runWithRig(root, SLOW_ENGINE, collectMemory);
    return [...processor, ...memory];
  } finally {
    rmSync(root, { recursive: true });
    build.remove();
  }
}

async function collectProcessor({ owner, other }: Rig): Promise<Slope[]> {
  const points = new Map<string, Point[]>();
  for (const tokens of TOKENS) {
    const load = { streams: STREAMS, tokens, rounds: ROUNDS };
    const figures = await runCpu([owner, other], load);
    for (const { way, cpuMs, requests } of figures) {
      const point: Point = [tokens, cpuMs * 1_000 / requests];
      points.set(way, [...points.get(way) ?? [], point]);
    }
  }
  return [...points].map(([way, list]) =>
    buildSlope(`request at ${way}: processor`, list, {
      size: "tokens of an answer",
      unit: "µs a request",
    })
  );
}

async function collectMemory({ other }: Rig): Promise<Slope[]> {
  const figures = await runMemory(other, OPEN_STREAMS);
  const points = figures.map(({ streams, residentBytes }): Point => [
    streams,
    residentBytes / BYTES_PER_KILOBYTE,
  ]);
  return [
    buildSlope("open streams: resident memory", points, {
      size: "open streams",
      unit: "KiB of the whole process",
    }),
  ];
}

async function runWithRig(
  root: string,
  engineOptions: Partial<EngineOptions>,
  collect: (rig: Rig) => Promise<Slope[]>,
): Promise<Slope[]> {
  const fleet = DemoFleet.create(buildOverheadExample(1), {
    root,
    directory: join(root, "run"),
    engineOptions,
  });
  try {
    await fleet.start();
    await sleep(SETTLE_MS);
    const owner = await findOwner(fleet);
    const other = fleet.entryVms.find((vm) => vm !== owner)!;
    return await collect({
      owner: buildVmPath("the owner", owner),
      other: buildVmPath("another VM", other),
    });
  } finally {
    await fleet.stop();
  }
}
