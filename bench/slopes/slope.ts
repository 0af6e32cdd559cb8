/**
 * A cost measured at several sizes, and the straight line through it.
 *
 * @module
 */
import process from "node:process";
import { computeLine } from "../fleet_control.ts";

const ROUNDS = 7;
const HEAP_ROUNDS = 3;
/** Processor time of rounds that do not count, in microseconds. */
const WARM_UP_US = 400_000;
const BYTES_PER_KILOBYTE = 1_024;

/** One size and what was measured there. */
export type Point = [size: number, value: number];

/** A line fitted by least squares, with what it was fitted to. */
export interface Slope {
  /** Names the slope within the file. */
  name: string;
  /** What the size counts. */
  size: string;
  unit: string;
  points: Point[];
  /** The line's value at size 0. */
  start: number;
  /** What one more of the size adds. */
  slope: number;
  /** Root mean square of the distances, as a share of the mean value. */
  residual: number;
}

/** Fits a line through `points`. */
export function buildSlope(
  name: string,
  points: Point[],
  labels: { size: string; unit: string },
): Slope {
  const { slope, start } = computeLine(points);
  const squares = points.map(([x, y]) => (y - start - slope * x) ** 2);
  const mean = computeMean(points.map(([, y]) => Math.abs(y)));
  const distance = Math.sqrt(computeMean(squares));
  const residual = mean === 0 ? 0 : distance / mean;
  return { name, ...labels, points, start, slope, residual };
}

/** The line's value at `size`. */
export function computeAt(slope: Slope, size: number): number {
  return slope.start + slope.slope * size;
}

/** Takes `count` at each size and fits a line. */
export async function collectSlope(
  name: string,
  sizes: readonly number[],
  options: {
    size: string;
    unit: string;
    count: (size: number) => number | Promise<number>;
  },
): Promise<Slope> {
  const points: Point[] = [];
  for (const size of sizes) points.push([size, await options.count(size)]);
  return buildSlope(name, points, { size: options.size, unit: options.unit });
}

/**
 * Processor time of one operation in microseconds: the median of several
 * rounds of `count` operations, after a round that warms the code up. Time on
 * the wall would count what else runs on the machine.
 */
export async function countProcessorTime(
  count: number,
  run: (count: number) => void | Promise<void>,
  rounds = ROUNDS,
): Promise<number> {
  let warmed = 0;
  while (warmed < WARM_UP_US) warmed += await countRound(count, run);
  const figures: number[] = [];
  for (let round = 0; round < rounds; round++) {
    figures.push(await countRound(count, run) / count);
  }
  return computeMedian(figures);
}

async function countRound(
  count: number,
  run: (count: number) => void | Promise<void>,
): Promise<number> {
  const before = process.cpuUsage();
  await run(count);
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** What `build` keeps on the heap, in KiB; what it gives is held till then. */
export async function countHeap(
  build: () => unknown | Promise<unknown>,
): Promise<number> {
  // What the code itself takes the first time is not the state's.
  await runOnce(build);
  const figures: number[] = [];
  for (let round = 0; round < HEAP_ROUNDS; round++) {
    figures.push(await runOnce(build));
  }
  return computeMedian(figures);
}

/**
 * The heap that one build adds. In a function of its own, since the frame of
 * a task that waits would keep the former build alive.
 */
async function runOnce(
  build: () => unknown | Promise<unknown>,
): Promise<number> {
  await new Promise((resolve) => setImmediate(resolve));
  const before = readHeap();
  const held = await build();
  await new Promise((resolve) => setImmediate(resolve));
  const after = readHeap();
  if (held === undefined) throw new Error("Nothing is held");
  return (after - before) / BYTES_PER_KILOBYTE;
}

/** Bytes on the heap after a full collection. */
function readHeap(): number {
  if (globalThis.gc === undefined) throw new Error("Run with --expose-gc");
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

export function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  const middle = sorted.length >> 1;
  const upper = sorted[middle] ?? 0;
  if (sorted.length % 2 === 1) return upper;
  return (upper + (sorted[middle - 1] ?? 0)) / 2;
}

function computeMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
