/**
 * Measures the time from the start of killed VMs until all of them answer.
 *
 * @module
 */
import { sendChat } from "../../test/support/process_calls.ts";
import {
  type ProcessFleet,
  waitUntil,
  waitUntilReady,
} from "../../test/support/process_fleet.ts";
import type { ProcessVm } from "../../test/support/process_vm.ts";
import { runWithFleet, VMS } from "./bench_fleet.ts";
import { computeSummary, type Summary } from "./summary.ts";

const SERVING_TIMEOUT_MS = 60_000;

/** Figures for one number of killed VMs and one state of the service. */
export interface RestartFigures {
  killed: number;
  service: "up" | "down";
  /** Time until all of them have answered a chat. */
  allServe: Summary;
  /** Time until `/readyz` reports all of them as ready. */
  allReady: Summary;
}

/**
 * Restarts one, half and all of the VMs, with the service up and down; all of
 * them only with the service up.
 */
export async function runRestarts(trials: number): Promise<RestartFigures[]> {
  const rows: [number, "up" | "down"][] = [
    [1, "up"],
    [1, "down"],
    [VMS / 2, "up"],
    [VMS / 2, "down"],
    [VMS, "up"],
  ];
  return await runWithFleet({}, async (fleet) => {
    const figures: RestartFigures[] = [];
    for (const [killed, service] of rows) {
      const serve: number[] = [];
      const ready: number[] = [];
      for (let trial = 0; trial < trials; trial++) {
        const times = await runRestart(fleet, { killed, service });
        serve.push(times.serveMs);
        ready.push(times.readyMs);
      }
      figures.push({
        killed,
        service,
        allServe: computeSummary(serve),
        allReady: computeSummary(ready),
      });
    }
    return figures;
  });
}

async function runRestart(
  fleet: ProcessFleet,
  options: { killed: number; service: "up" | "down" },
): Promise<{ serveMs: number; readyMs: number }> {
  const { core } = fleet.platform;
  core.setFault(options.service === "down" ? "down" : "none");
  const vms = fleet.vms.slice(0, options.killed);
  await Promise.all(vms.map((vm) => vm.destroy()));
  for (const vm of vms) vm.start();
  const [readyMs, ...serve] = await Promise.all([
    waitUntilReady(vms),
    ...vms.map(waitUntilServing),
  ]);
  core.setFault("none");
  await waitUntilReady(fleet.vms);
  return { serveMs: Math.max(...serve), readyMs };
}

async function waitUntilServing(vm: ProcessVm): Promise<number> {
  return await waitUntil(`${vm.id} to serve`, SERVING_TIMEOUT_MS, async () => {
    const ended = await sendChat(vm.port, { tokens: 1, name: vm.id });
    return ended.outcome.kind === "answered";
  });
}
