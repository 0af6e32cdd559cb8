/**
 * Guards against VMs that apply different versions, or none, after an invalid
 * version was published while the VMs are in different states (one has just
 * started, one is behind, one reads later). Validation must depend only on the
 * version and its records, and the last valid version stays in force.
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

it("an invalid version is rejected once on each VM, and the next applied", async () => {
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
  // A rejected version is not read repeatedly.
  expect(fleet.service.calls - callsBefore).toBeLessThan(8 * 2 * 12 + 60);
  fleet.service.putVersion(3, buildRecords(3));
  await fleet.runUntil(() => isEverywhere(fleet, 3), 5_000);
});

it("a new VM applies the last valid version", async () => {
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

it("corrected records under the same number leave all VMs on one version", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.service.putVersion(2, buildBadRecords(2));
  await fleet.clock.run(5_000);
  fleet.service.putVersion(2, buildRecords(2));
  await fleet.clock.run(30_000);
  expect(new Set(fleet.listVersions()).size).toBe(1);
});
