/**
 * Symptom: a change reaches some VMs and never the others.
 *
 * Sequence: the configuration service answers only one VM, or none for long,
 * and then a new version is published.
 *
 * Cause: VMs that depend on their own reads. Versions pass from peer to peer,
 * and a VM that gets through while the watchers do not becomes a watcher.
 *
 * @module
 */
import { expect, it } from "vitest";
import { buildRecords } from "../support/fleet_records.ts";
import { startVm } from "../../standin/virtual_fleet.ts";
import {
  getVm,
  isEverywhere,
  recordVersions,
  startFleet,
  toVmId,
} from "../support/fleet_steps.ts";

it("one VM that gets through supplies the fleet", async () => {
  for (const count of [8, 16]) {
    const fleet = await startFleet({ count });
    const watchers = fleet.list().filter((vm) =>
      vm.follower.listVersions().isWatcher
    );
    const others = fleet.list().filter((vm) => !watchers.includes(vm));
    const reader = others[0] ?? watchers[0]!;
    fleet.service.reachableBy = new Set([reader.listed.id]);
    await fleet.clock.run(40_000);
    fleet.service.putVersion(2, buildRecords(2));
    const took = await fleet.runUntil(() => isEverywhere(fleet, 2), 30_000);
    expect(took).toBeLessThan(2_000);
  }
});

it("and goes on doing so for as long as it is the only one", async () => {
  const fleet = await startFleet({ count: 16 });
  const reader = fleet.list().find((vm) =>
    !vm.follower.listVersions().isWatcher
  )!;
  fleet.service.reachableBy = new Set([reader.listed.id]);
  await fleet.clock.run(40_000);
  for (let version = 2; version < 40; version += 1) {
    fleet.service.putVersion(version, buildRecords(version));
    const took = await fleet.runUntil(
      () => isEverywhere(fleet, version),
      30_000,
    );
    expect(took).toBeLessThan(2_000);
    await fleet.clock.run(7_000);
  }
  fleet.service.reachableBy = undefined;
  await fleet.clock.run(120_000);
  expect(reader.follower.listVersions().isWatcher).toBe(false);
});

it("a long outage leaves the version in force, and is over at once", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.service.isDown = true;
  await fleet.clock.run(600_000);
  expect(isEverywhere(fleet, 1)).toBe(true);
  expect(getVm(fleet, 0).membership.getViewAgeMs()).toBeGreaterThan(590_000);
  fleet.service.isDown = false;
  fleet.service.putVersion(2, buildRecords(2));
  await fleet.runUntil(() => isEverywhere(fleet, 2), 7_000);
  const { membership } = getVm(fleet, 0);
  await fleet.runUntil(() => membership.getViewAgeMs() < 1_000, 7_000);
});

it("a VM that starts meanwhile gets the version from its peers", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.service.isDown = true;
  const { listed } = getVm(fleet, 3);
  fleet.stopVm(listed.id);
  const restarted = fleet.addVm(listed);
  const versions = recordVersions(restarted);
  startVm(restarted);
  await fleet.runUntil(() => restarted.follower.isReady(), 3_000);
  expect(versions).toEqual([1]);
  expect(restarted.follower.getList().revision).toBe(1);
});

it("all VMs started again serve once the service is there", async () => {
  const fleet = await startFleet({ count: 4 });
  fleet.service.isDown = true;
  const listed = fleet.list().map((vm) => vm.listed);
  for (const { id } of listed) fleet.stopVm(id);
  for (const vm of listed) startVm(fleet.addVm(vm));
  await fleet.clock.run(60_000);
  expect(fleet.vms.get(toVmId(0))!.follower.isReady()).toBe(false);
  fleet.service.isDown = false;
  await fleet.runUntil(() => isEverywhere(fleet, 1), 7_000);
});
