/**
 * Soaks a fleet of a deployment's size: real daemons as processes, replicas that
 * leave all the time, and faults of VMs and of their paths to the store. Checks
 * that all VMs learn of each leaving in time and send nothing later.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type Child,
  ChildProcessGroup,
} from "../../../demo/child_process_group.ts";
import { type AtSizeReport, buildReport } from "./at_size_report.ts";
import { LinkControl } from "../link_control.ts";
import { FleetAtSize, type FleetAtSizeOptions } from "./fleet_at_size.ts";
import type { ObserverOptions, ObserverReport } from "./observer.ts";

const OBSERVER = "test/soak/at_size/observer_main.ts";
/** Time for the arrivals of the last leaves to be counted. */
const SETTLE_MS = 9_000;
const BUSY_LOOP = "while (true) {}";

/** Options of a soak at size. */
export interface AtSizeOptions extends ObserverOptions, FleetAtSizeOptions {
  forMs: number;
  /** Processes that keep a processor busy beside the fleet. */
  busyLoops: number;
  /** Time for which a replica that leaves may get requests. */
  drainMs: number;
}

/** Runs one soak; rejects only if the soak itself cannot run. */
export async function runAtSize(options: AtSizeOptions): Promise<AtSizeReport> {
  const directory = mkdtempSync(join(tmpdir(), "persimmonslip-size-"));
  const children = ChildProcessGroup.create(directory);
  const links = await LinkControl.create(directory);
  const fleet = FleetAtSize.create(options, { directory, children, links });
  const reportFile = join(directory, "observed.json");
  try {
    const line = await children.startAndReadLine({
      name: "observer",
      args: buildObserverArgs(options, reportFile),
    });
    const [observer] = children.listAlive();
    await fleet.start(Number(line));
    startBusyLoops(children, options.busyLoops);
    observer!.process.kill("SIGUSR2");
    await fleet.runFor(options.forMs, SETTLE_MS);
    const observed = await readObserved(observer!, reportFile);
    return buildReport(fleet, observed, options.drainMs);
  } finally {
    await fleet.close();
    for (const child of children.listAlive()) await children.destroy(child);
    rmSync(directory, { recursive: true, force: true });
  }
}

function buildObserverArgs(
  { seed, replicas, atOnce, gapMs, deafGapMs, deafness }: ObserverOptions,
  reportFile: string,
): string[] {
  const options = JSON.stringify({
    seed,
    replicas,
    atOnce,
    gapMs,
    deafGapMs,
    deafness,
  });
  return ["--import", "tsx", OBSERVER, options, reportFile];
}

function startBusyLoops(children: ChildProcessGroup, count: number): void {
  for (let index = 0; index < count; index++) {
    children.start({ name: `busy-${index}`, args: ["-e", BUSY_LOOP] });
  }
}

async function readObserved(
  observer: Child,
  reportFile: string,
): Promise<ObserverReport> {
  observer.process.kill("SIGTERM");
  await observer.exited;
  return JSON.parse(readFileSync(reportFile, "utf8")) as ObserverReport;
}
