/**
 * Guards against a replaced VM that refuses recently added keys. Version 5 is
 * in force, the service reverts to an older state and reports version 3 as the
 * newest, and a VM restarts without any state. It must query its peers first,
 * and apply only a higher version from the service.
 *
 * @module
 */
import { expect, it } from "vitest";
import { buildRecords } from "../support/fleet_records.ts";
import {
  getVm,
  isEverywhere,
  recordVersions,
  startFleet,
} from "../support/fleet_steps.ts";
import { startVm, VirtualFleet } from "../../standin/virtual_fleet.ts";
import type { FleetVm } from "../../standin/virtual_fleet.ts";

function restart(fleet: VirtualFleet, index: number): FleetVm {
  const { listed } = getVm(fleet, index);
  fleet.stopVm(listed.id);
  return fleet.addVm(listed);
}

it("a restarted VM never applies the stale version", async () => {
  const fleet = await startFleet({ count: 8 }, 5);
  fleet.service.putVersion(3, buildRecords(3));
  const restarted = restart(fleet, 2);
  const versions = recordVersions(restarted);
  startVm(restarted);
  await fleet.clock.run(60_000);
  expect(versions).toEqual([5]);
  expect(isEverywhere(fleet, 5)).toBe(true);
});

it("VMs restarted one after another keep the version", async () => {
  const fleet = await startFleet({ count: 8 }, 5);
  fleet.service.putVersion(3, buildRecords(3));
  for (let index = 0; index < 8; index += 1) {
    const restarted = restart(fleet, index);
    const versions = recordVersions(restarted);
    startVm(restarted);
    await fleet.clock.run(4_000);
    expect(versions).toEqual([5]);
  }
});

it("a VM that restarts while its peers are slow applies the version", async () => {
  const fleet = await startFleet({ count: 4 }, 5);
  fleet.service.putVersion(3, buildRecords(3));
  const restarted = restart(fleet, 0);
  for (const other of fleet.list()) {
    fleet.network.setDelay(restarted.listed.id, other.listed.id, 400);
  }
  const versions = recordVersions(restarted);
  startVm(restarted);
  await fleet.clock.run(20_000);
  expect(versions).toEqual([5]);
});

it("a fleet that lost all state applies the version of the service", async () => {
  const fleet = await startFleet({ count: 4 }, 5);
  fleet.service.putVersion(3, buildRecords(3));
  const listed = fleet.list().map((vm) => vm.listed);
  for (const { id } of listed) fleet.stopVm(id);
  for (const vm of listed) startVm(fleet.addVm(vm));
  await fleet.runUntil(() => isEverywhere(fleet, 3), 10_000);
  fleet.service.putVersion(6, buildRecords(6));
  await fleet.runUntil(() => isEverywhere(fleet, 6), 10_000);
  expect(isEverywhere(fleet, 6)).toBe(true);
});
