/**
 * Symptom: after half of the VMs were replaced, keys of callers that were
 * removed long ago work again, or the new VMs serve nothing.
 *
 * Sequence: half of the VMs end at one moment; new ones with new names start
 * with empty memories while the service is stale or down.
 *
 * Cause: new VMs that know neither the version nor each other. They get the
 * version and the list from the peers that are left.
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

/** Ends the first half and starts as many VMs under new names. */
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

it("the new half has the version that the old one had", async () => {
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

it("the new half serves while the service is down", async () => {
  const fleet = await startFleet({ count: 2 * HALF }, 5);
  fleet.service.isDown = true;
  replaceHalf(fleet);
  await fleet.runUntil(() => isEverywhere(fleet, 5), 5_000);
  // The list is older than the new VMs: they are callers' entries already,
  // and owners once the service gives the new list.
  const owners = listOwners(fleet, KEY);
  expect(owners.size).toBeLessThanOrEqual(2);
  fleet.service.isDown = false;
  await fleet.runUntil(
    () => fleet.list().every((vm) => vm.follower.getList().revision === 2),
    15_000,
  );
  await fleet.runUntil(() => listOwners(fleet, KEY).size === 1, 10_000);
});
