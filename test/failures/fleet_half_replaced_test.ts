/**
 * Guards against removed caller keys that work again, and against new VMs that
 * serve nothing, after half of the VMs were replaced while the configuration
 * service is stale or down. The new VMs start without any state: they must get
 * the version and the membership list from the remaining peers.
 *
 * @module
 */
import { expect, it } from "vitest";
import { createListedVms, startVm } from "../../standin/virtual_fleet.ts";
import type { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { buildRecords } from "../support/fleet_records.ts";
import {
  isEverywhere,
  listOwners,
  recordVersions,
  startFleet,
} from "../support/fleet_steps.ts";

const KEY = "pool/0";
const HALF = 4;

/** Stops the first half and starts as many VMs under new names. */
function replaceHalf(fleet: VirtualFleet): number[][] {
  const old = fleet.list().map((vm) => vm.listed);
  for (const { id } of old.slice(0, HALF)) fleet.stopVm(id);
  const fresh = createListedVms(3 * HALF, 4).slice(2 * HALF);
  fleet.service.putList(2, [...old.slice(HALF), ...fresh]);
  return fresh.map((listed) => {
    const vm = fleet.addVm(listed);
    const versions = recordVersions(vm);
    startVm(vm);
    return versions;
  });
}

it("new VMs apply the version of the remaining half", async () => {
  const fleet = await startFleet({ count: 2 * HALF }, 5);
  fleet.service.putVersion(3, buildRecords(3));
  const recorded = replaceHalf(fleet);
  await fleet.runUntil(() => isEverywhere(fleet, 5), 5_000);
  await fleet.runUntil(() => listOwners(fleet, KEY).size === 1, 10_000);
  await fleet.clock.run(30_000);
  expect(recorded).toEqual(Array(HALF).fill([5]));
  expect(fleet.list().map((vm) => vm.follower.getList().revision))
    .toEqual(Array(2 * HALF).fill(2));
});

it("new VMs serve while the service is down", async () => {
  const fleet = await startFleet({ count: 2 * HALF }, 5);
  fleet.service.isDown = true;
  replaceHalf(fleet);
  await fleet.runUntil(() => isEverywhere(fleet, 5), 5_000);
  // The list is older than the new VMs: they already serve callers as entry
  // VMs, and become owners once the service publishes the new list.
  const owners = listOwners(fleet, KEY);
  expect(owners.size).toBeLessThanOrEqual(2);
  fleet.service.isDown = false;
  await fleet.runUntil(
    () => fleet.list().every((vm) => vm.follower.getList().revision === 2),
    15_000,
  );
  await fleet.runUntil(() => listOwners(fleet, KEY).size === 1, 10_000);
});
