/**
 * Symptom: after a bad publication some VMs serve the new version and some the
 * old one, or a VM serves none at all.
 *
 * Sequence: version 2 does not validate; VMs are in different states (one has
 * just started, one is behind, one reads later).
 *
 * Cause: a decision that depends on a VM's own state. Validation sees only the
 * version and its records; the last good version stays whole.
 *
 * @module
 */
import { expect, it } from "vitest";
import { startVm } from "../../standin/virtual_fleet.ts";
import { buildBadRecords, buildRecords } from "../support/fleet_records.ts";
import {
  getVm,
  isEverywhere,
  recordVersions,
  startFleet,
} from "../support/fleet_steps.ts";

it("is rejected everywhere, once a VM, and the next good one taken", async () => {
  const fleet = await startFleet({ count: 8 });
  const callsBefore = fleet.service.calls;
  fleet.service.putVersion(2, buildBadRecords(2));
  await fleet.clock.run(60_000);
  expect(isEverywhere(fleet, 1)).toBe(true);
  for (const vm of fleet.list()) {
    const { history } = vm.follower.listVersions();
    const rejected = history.filter(({ result }) => result === "rejected");
    expect(rejected).toHaveLength(1);
    expect(rejected[0]!.problems[0]).toContain("requests_per_minute");
  }
  // A rejected version is not read over and over.
  expect(fleet.service.calls - callsBefore).toBeLessThan(8 * 2 * 12 + 60);
  fleet.service.putVersion(3, buildRecords(3));
  await fleet.runUntil(() => isEverywhere(fleet, 3), 5_000);
});

it("does not keep a new VM from the last good one", async () => {
  const fleet = await startFleet({ count: 4 });
  fleet.service.putVersion(2, buildBadRecords(2));
  await fleet.clock.run(5_000);
  const { listed } = getVm(fleet, 1);
  fleet.stopVm(listed.id);
  const restarted = fleet.addVm(listed);
  const versions = recordVersions(restarted);
  startVm(restarted);
  await fleet.clock.run(10_000);
  expect(versions).toEqual([1]);
});

it("becomes good only under a higher version", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.service.putVersion(2, buildBadRecords(2));
  await fleet.clock.run(5_000);
  fleet.service.putVersion(2, buildRecords(2));
  await fleet.clock.run(30_000);
  expect(new Set(fleet.listVersions()).size).toBe(1);
});
