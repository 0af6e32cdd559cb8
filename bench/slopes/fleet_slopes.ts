/**
 * Slopes of the cost of membership, probing, summaries and watches by the
 * number of VMs, in virtual time.
 *
 * @module
 */
import { type ControlFigures, runFleetControl } from "../fleet_control.ts";
import { buildSlope, type Point, type Slope } from "./slope.ts";

const VMS = [16, 32, 64, 128];
const LARGE = 380;
const RUN_MS = 20_000;
const LARGE_RUN_MS = 10_000;
const MICROSECONDS_PER_PERCENT = 10_000;
const KILOBYTES_PER_MEGABYTE = 1_024;

interface Column {
  name: string;
  unit: string;
  get: (figures: ControlFigures) => number;
}

const COLUMNS: readonly Column[] = [
  {
    name: "probing: messages",
    unit: "messages a second at each VM, sent and received",
    get: (figures) => figures.messagesPerSecond,
  },
  {
    name: "probing: bytes",
    unit: "bytes a second at each VM, JSON alone, sent and received",
    get: (figures) => figures.bytesPerSecond,
  },
  {
    name: "probing: processor",
    unit: "µs a second at each VM, without HTTP",
    get: (figures) => figures.processorPercent * MICROSECONDS_PER_PERCENT,
  },
  {
    name: "probing: heap",
    unit: "KiB at each VM",
    get: (figures) => figures.heapMegabytes * KILOBYTES_PER_MEGABYTE,
  },
  {
    name: "configuration service: calls",
    unit: "calls a minute of the whole fleet in 4 data centres",
    get: (figures) => figures.serviceCallsPerMinute,
  },
];

/** Measures slopes up to 128 VMs, and the cost of 380 VMs as a check. */
export async function collectFleetSlopes(): Promise<
  { slopes: Slope[]; checks: Record<string, number> }
> {
  const figures: ControlFigures[] = [];
  for (const vms of VMS) figures.push(await runFleetControl(vms, RUN_MS));
  const large = await runFleetControl(LARGE, LARGE_RUN_MS);
  const slopes = COLUMNS.map(({ name, unit, get }) => {
    const points = figures.map((one): Point => [one.vms, get(one)]);
    return buildSlope(name, points, { size: "VMs", unit });
  });
  const checks = Object.fromEntries(
    COLUMNS.map(({ name, get }) => [`${name} at ${LARGE} VMs`, get(large)]),
  );
  return { slopes, checks };
}
