/**
 * Slopes of the cost of workspace limits by the number of workspaces.
 *
 * @module
 */
import { type ManyWorkspacesFigures, runManyWorkspaces } from "../limits.ts";
import { buildSlope, type Point, type Slope } from "./slope.ts";

const WORKSPACES = [425, 850, 1_700, 3_400];
const SEED = 1;
const BYTES_PER_KILOBYTE = 1_024;

/** Measures eight VMs, with one request per workspace every 5 s. */
export async function collectLimitSlopes(): Promise<Slope[]> {
  // Warms up the code.
  await runManyWorkspaces(SEED, WORKSPACES[0]);
  const figures: ManyWorkspacesFigures[] = [];
  for (const count of WORKSPACES) {
    figures.push(await runManyWorkspaces(SEED, count));
  }
  const build = (
    name: string,
    unit: string,
    get: (one: ManyWorkspacesFigures) => number,
  ): Slope => {
    const points = figures.map((one): Point => [one.workspaces, get(one)]);
    return buildSlope(name, points, { size: "workspaces", unit });
  };
  return [
    build(
      "limits: calls",
      "calls a second of 8 VMs",
      (one) => one.callsPerSecond,
    ),
    build(
      "limits: processor",
      "µs a request, both sides, without HTTP",
      (one) => one.processorPerRequest,
    ),
    build(
      "limits: heap",
      "KiB at each of 8 VMs",
      (one) => one.bytesPerVm / BYTES_PER_KILOBYTE,
    ),
  ];
}
