/**
 * The measures of the overhead bench, each against a baseline in one run.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { readCpuMs, readResidentBytes } from "./process_usage.ts";
import { StreamCaller, type StreamTarget } from "./streams.ts";

const MICROSECONDS = 1_000;
const SETTLE_MS = 1_500;
const OPENING_AT_ONCE = 500;

/** One way from a caller to an engine. */
export interface Way {
  name: string;
  target: StreamTarget;
  /** The process in between; undefined for the direct way. */
  pid: number | undefined;
}

/** First-token time of one way, in milliseconds. */
export interface FirstTokenFigures {
  way: string;
  samples: number;
  p50: number;
  p99: number;
}

/** Processor time of one way's process. */
export interface CpuFigures {
  way: string;
  tokens: number;
  requests: number;
  cpuMs: number;
}

/** Memory of one process with streams open. */
export interface MemoryFigures {
  streams: number;
  residentBytes: number;
}

/** Short streams one after the other, the ways taking turns. */
export async function runFirstToken(
  ways: readonly Way[],
  samples: number,
): Promise<FirstTokenFigures[]> {
  const caller = StreamCaller.create();
  const histograms = ways.map(() =>
    build({ numberOfSignificantValueDigits: 3 })
  );
  for (let sample = -samples / 10; sample < samples; sample++) {
    for (const [index, way] of ways.entries()) {
      const { firstTokenMs } = await caller.run(way.target, 2);
      // The first tenth warms connections and code up.
      if (sample < 0) continue;
      const value = Math.round(firstTokenMs * MICROSECONDS);
      histograms[index]!.recordValue(value);
    }
  }
  caller.close();
  return ways.map((way, index) => ({
    way: way.name,
    samples,
    p50: histograms[index]!.getValueAtPercentile(50) / MICROSECONDS,
    p99: histograms[index]!.getValueAtPercentile(99) / MICROSECONDS,
  }));
}

/** Processor time of each way's process over `rounds` rounds of streams. */
export async function runCpu(
  ways: readonly Way[],
  load: { streams: number; tokens: number; rounds: number },
): Promise<CpuFigures[]> {
  const caller = StreamCaller.create();
  const figures = ways.map((way): CpuFigures => ({
    way: way.name,
    tokens: 0,
    requests: 0,
    cpuMs: 0,
  }));
  for (let round = -1; round < load.rounds; round++) {
    for (const [index, way] of ways.entries()) {
      const before = way.pid === undefined ? 0 : readCpuMs(way.pid);
      const streams = Array.from(
        { length: load.streams },
        () => caller.run(way.target, load.tokens),
      );
      await Promise.all(streams);
      if (round < 0 || way.pid === undefined) continue;
      const figure = figures[index]!;
      figure.cpuMs += readCpuMs(way.pid) - before;
      figure.tokens += load.streams * load.tokens;
      figure.requests += load.streams;
    }
  }
  caller.close();
  return figures;
}

/** Resident memory of the way's process at each number of open streams. */
export async function runMemory(
  way: Way,
  counts: readonly number[],
): Promise<MemoryFigures[]> {
  const { pid, target } = way;
  if (pid === undefined) return [];
  const caller = StreamCaller.create();
  const closes: (() => void)[] = [];
  const figures: MemoryFigures[] = [
    { streams: 0, residentBytes: readResidentBytes(pid) },
  ];
  for (const count of counts) {
    while (closes.length < count) {
      const missing = Math.min(OPENING_AT_ONCE, count - closes.length);
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
