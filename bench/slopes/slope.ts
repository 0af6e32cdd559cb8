/**
 * Measures a cost at several sizes and fits a straight line.
 *
 * @module
 */
import process from "node:process";
import { computeLine } from "../fleet_control.ts";

const ROUNDS = 7;
const HEAP_ROUNDS = 3;
/** Minimum processor time of the warm-up rounds, in microseconds. */
const WARM_UP_US = 400_000;
const BYTES_PER_KILOBYTE = 1_024;

/** A size and the value measured at it. */
export type Point = [size: number, value: number];

/** A line fitted by least squares, with its data points. */
export interface Slope {
  /** Name of the slope, unique within the file. */
  name: string;
  /** What the size counts. */
  size: string;
  unit: string;
  points: Point[];
  /** The line's value at size 0. */
  start: number;
  /** Increase per unit of size. */
  slope: number;
  /** Root mean square error divided by the mean value. */
  residual: number;
}

/** Fits a line to `points`. */
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

/** Returns the line's value at `size`. */
export function computeAt(slope: Slope, size: number): number {
  return slope.start + slope.slope * size;
}

/** Measures `count` at each size and fits a line. */
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
 * Measures the processor time of one operation in microseconds: the median of
 * several rounds of `count` operations, after warm-up rounds. Wall time would
 * include other processes on the machine.
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

/** Measures the heap of the result of `build`, in KiB. */
export async function countHeap(
  build: () => unknown | Promise<unknown>,
): Promise<number> {
  // The first run also allocates compiled code, which is not part of the state.
  await runOnce(build);
  const figures: number[] = [];
  for (let round = 0; round < HEAP_ROUNDS; round++) {
    figures.push(await runOnce(build));
  }
  return computeMedian(figures);
}

/**
 * Measures the heap that one build adds. This is a function of its own, because
 * the frame of a suspended async function would keep the previous result alive.
 */
async function runOnce(
  build: () => unknown | Promise<unknown>,
): Promise<number> {
  await new Promise((resolve) => setImmediate(resolve));
  const before = readHeap();
  const result = await build();
  await new Promise((resolve) => setImmediate(resolve));
  const after = readHeap();
  if (result === undefined) throw new Error("build returned undefined");
  return (after - before) / BYTES_PER_KILOBYTE;
}

/** Returns the bytes on the heap after a full garbage collection. */
function readHeap(): number {
  if (globalThis.gc === undefined) throw new Error("Run Node with --expose-gc");
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
