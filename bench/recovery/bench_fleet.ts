/**
 * The fleet of the recovery benchmark: eight daemons.
 *
 * @module
 */
import {
  ProcessFleet,
  type ProcessFleetOptions,
} from "../../test/support/process_fleet.ts";

/** Number of entry VMs, the same as in both users' fleets. */
export const VMS = 8;

let program = "";

/** Sets the daemon's compiled module for all fleets. */
export function setProgram(path: string): void {
  program = path;
}

/** Runs `measure` on a new fleet, then stops the fleet. */
export async function runWithFleet<T>(
  options: Omit<ProcessFleetOptions, "vms" | "program">,
  measure: (fleet: ProcessFleet) => Promise<T>,
): Promise<T> {
  const fleet = await ProcessFleet.create({
    program,
    vms: VMS,
    engines: 4,
    services: 2,
    engine: { baseMs: 10, perRunningMs: 0.25 },
    logLevel: "info",
    ...options,
  });
  try {
    return await measure(fleet);
  } finally {
    await fleet.close();
  }
}
