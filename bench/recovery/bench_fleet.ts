/**
 * The fleet that the recovery bench measures: eight daemons.
 *
 * @module
 */
import {
  ProcessFleet,
  type ProcessFleetOptions,
} from "../../test/support/process_fleet.ts";

/** Entry VMs that each user has today. */
export const VMS = 8;

let program = "";

/** Sets the daemon's compiled module for all fleets. */
export function setProgram(path: string): void {
  program = path;
}

/** Runs `measure` on a fresh fleet and ends the fleet. */
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
