/**
 * Common steps of the fleet tests.
 *
 * @module
 */
import { toId } from "../../src/ids.ts";
import type { VmId } from "../../src/ids.ts";
import { VirtualFleet } from "../../standin/virtual_fleet.ts";
import type { FleetOptions, FleetVm } from "../../standin/virtual_fleet.ts";
import { buildRecords } from "./fleet_records.ts";

const START_MS = 10_000;
const SETTLE_MS = 3_000;

/** Starts a fleet in which all VMs know each other and apply `version`. */
export async function startFleet(
  options: FleetOptions,
  version = 1,
): Promise<VirtualFleet> {
  const fleet = VirtualFleet.create(options);
  fleet.service.putVersion(version, buildRecords(version));
  fleet.startAll();
  await fleet.runUntil(() => isEverywhere(fleet, version), START_MS);
  await fleet.clock.run(SETTLE_MS);
  return fleet;
}

/** Whether every VM has `version` in force. */
export function isEverywhere(fleet: VirtualFleet, version: number): boolean {
  return fleet.listVersions().every((one) => one === version);
}

/** The VM named `vm-INDEX`. */
export function getVm(fleet: VirtualFleet, index: number): FleetVm {
  return fleet.vms.get(toVmId(index))!;
}

/** The id `vm-INDEX`. */
export function toVmId(index: number): VmId {
  return toId<VmId>(`vm-${index}`);
}

/** The owners of `key` according to all VMs but `except`. */
export function listOwners(
  fleet: VirtualFleet,
  key: string,
  except?: VmId,
): Set<VmId | undefined> {
  const queried = fleet.list().filter((vm) => vm.listed.id !== except);
  return new Set(queried.map((vm) => vm.membership.findOwner(key)));
}

/** Records every version that `vm` applies, in order. */
export function recordVersions(vm: FleetVm): number[] {
  const versions: number[] = [];
  vm.follower.onSnapshot((snapshot) => versions.push(snapshot.version));
  return versions;
}
