/**
 * Measurements of the overhead benchmark, each of several paths in one run.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { readCpuMs, readResidentBytes } from "./process_usage.ts";
import { StreamCaller, type StreamTarget } from "./streams.ts";

const MICROSECONDS = 1_000;
const SETTLE_MS = 1_500;
const MAX_CONCURRENT_OPENS = 500;

/** A path from a caller to an engine. */
export interface CallPath {
  name: string;
  target: StreamTarget;
  /** Process id of the intermediary; undefined for the direct path. */
  pid: number | undefined;
}

/** Time to first token on one path, in milliseconds. */
export interface FirstTokenFigures {
  way: string;
  samples: number;
  p50: number;
  p99: number;
}

/** Processor time of one path's process. */
export interface CpuFigures {
  way: string;
  tokens: number;
  requests: number;
  cpuMs: number;
}

/** Memory of one process with open streams. */
export interface MemoryFigures {
  streams: number;
  residentBytes: number;
}

/**
 * Measures the time to first token of sequential short streams, alternating
 * between the paths.
 */
export async function runFirstToken(
  paths: readonly CallPath[],
  samples: number,
): Promise<FirstTokenFigures[]> {
  const caller = StreamCaller.create();
  const histograms = paths.map(() =>
    build({ numberOfSignificantValueDigits: 3 })
  );
  for (let sample = -samples / 10; sample < samples; sample++) {
    for (const [index, path] of paths.entries()) {
      const { firstTokenMs } = await caller.run(path.target, 2);
      // The first tenth warms up connections and code.
      if (sample < 0) continue;
      const value = Math.round(firstTokenMs * MICROSECONDS);
      histograms[index]!.recordValue(value);
    }
  }
  caller.close();
  return paths.map((path, index) => ({
    way: path.name,
    samples,
    p50: histograms[index]!.getValueAtPercentile(50) / MICROSECONDS,
    p99: histograms[index]!.getValueAtPercentile(99) / MICROSECONDS,
  }));
}

/**
 * Measures the processor time of each path's process over `rounds` rounds of
 * streams.
 */
export async function runCpu(
  paths: readonly CallPath[],
  load: { streams: number; tokens: number; rounds: number },
): Promise<CpuFigures[]> {
  const caller = StreamCaller.create();
  const figures = paths.map((path): CpuFigures => ({
    way: path.name,
    tokens: 0,
    requests: 0,
    cpuMs: 0,
  }));
  for (let round = -1; round < load.rounds; round++) {
    for (const [index, path] of paths.entries()) {
      const before = path.pid === undefined ? 0 : readCpuMs(path.pid);
      const streams = Array.from(
        { length: load.streams },
        () => caller.run(path.target, load.tokens),
      );
      await Promise.all(streams);
      if (round < 0 || path.pid === undefined) continue;
      const figure = figures[index]!;
      figure.cpuMs += readCpuMs(path.pid) - before;
      figure.tokens += load.streams * load.tokens;
      figure.requests += load.streams;
    }
  }
  caller.close();
  return figures;
}

/**
 * Measures the resident memory of the path's process for each number of open
 * streams.
 */
export async function runMemory(
  path: CallPath,
  counts: readonly number[],
): Promise<MemoryFigures[]> {
  const { pid, target } = path;
  if (pid === undefined) return [];
  const caller = StreamCaller.create();
  const closes: (() => void)[] = [];
  const figures: MemoryFigures[] = [
    { streams: 0, residentBytes: readResidentBytes(pid) },
  ];
  for (const count of counts) {
    while (closes.length < count) {
      const missing = Math.min(MAX_CONCURRENT_OPENS, count - closes.length);
      const opened = Array.from(
        { length: missing },
        () => caller.open(target, 10_000),
      );
      closes.push(...await Promise.all(opened));
    }
    await sleep(SETTLE_MS);
    figures.push({ streams: count, residentBytes: readResidentBytes(pid) });
  }
  for (const close of closes) close();
  caller.close();
  return figures;
}
