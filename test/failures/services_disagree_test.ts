/**
 * Symptom: two VMs on one version treat one workspace differently, for good.
 *
 * Sequence: two services (or one that was restored) publish different records
 * under one version number; each VM takes the one that it reads first.
 *
 * Cause: a version number does not tell the contents apart. Probes carry a
 * digest, and of two contents the one with the greater digest wins everywhere.
 *
 * @module
 */
import { expect, it } from "vitest";
import { VirtualService } from "../../standin/virtual_service.ts";
import { startVm, VirtualFleet } from "../../standin/virtual_fleet.ts";
import { buildBadRecords, buildRecords } from "../support/fleet_records.ts";
import { toVmId } from "../support/fleet_steps.ts";

const VMS = 8;

/** A fleet whose second half reads another service. */
function startTorn(): { fleet: VirtualFleet; other: VirtualService } {
  const fleet = VirtualFleet.create({ count: VMS });
  const other = new VirtualService(fleet.clock);
  const listed = fleet.list().map((vm) => vm.listed);
  other.putList(1, listed);
  for (const vm of listed.slice(VMS / 2)) fleet.addVm(vm, other);
  return { fleet, other };
}

function listDigests(fleet: VirtualFleet): Set<string | undefined> {
  return new Set(
    fleet.list().map((vm) => vm.follower.getVersions().configDigest),
  );
}

it("one content wins everywhere, alike for both orders", async () => {
  const winners = [];
  for (const [first, second] of [[1, 2], [2, 1]] as const) {
    const { fleet, other } = startTorn();
    fleet.service.putVersion(7, buildRecords(first));
    other.putVersion(7, buildRecords(second));
    for (const vm of fleet.list()) startVm(vm);
    await fleet.clock.run(10_000);
    expect(fleet.listVersions()).toEqual(Array(VMS).fill(7));
    expect(listDigests(fleet).size).toBe(1);
    winners.push([...listDigests(fleet)][0]);
  }
  expect(winners[0]).toBe(winners[1]);
});

it("the conflict stands in the report of the side that lost", async () => {
  const { fleet, other } = startTorn();
  fleet.service.putVersion(7, buildRecords(1));
  for (const vm of fleet.list()) startVm(vm);
  await fleet.clock.run(5_000);
  other.putVersion(8, buildRecords(2));
  fleet.service.putVersion(8, buildRecords(1));
  await fleet.clock.run(5_000);
  const histories = fleet.list().map((vm) =>
    vm.follower.listVersions().history.filter(({ version }) => version === 8)
  );
  expect(histories.some((entries) => entries.length === 2)).toBe(true);
  expect(listDigests(fleet).size).toBe(1);
});

it("the higher version wins over the service that lags", async () => {
  const { fleet, other } = startTorn();
  fleet.service.putVersion(7, buildRecords(7));
  other.putVersion(4, buildRecords(4));
  for (const vm of fleet.list()) startVm(vm);
  await fleet.clock.run(10_000);
  expect(fleet.listVersions()).toEqual(Array(VMS).fill(7));
  other.putVersion(5, buildRecords(5));
  await fleet.clock.run(10_000);
  expect(fleet.listVersions()).toEqual(Array(VMS).fill(7));
});

it("a content that one service has wrong gives way to the valid one", async () => {
  const { fleet, other } = startTorn();
  fleet.service.putVersion(7, buildRecords(7));
  other.putVersion(7, buildBadRecords(7));
  for (const vm of fleet.list()) startVm(vm);
  await fleet.clock.run(10_000);
  expect(fleet.listVersions()).toEqual(Array(VMS).fill(7));
  expect(listDigests(fleet).size).toBe(1);
  const torn = fleet.vms.get(toVmId(VMS - 1))!;
  const rejected = torn.follower.listVersions().history.filter((entry) =>
    entry.result === "rejected"
  );
  expect(rejected.length).toBeLessThanOrEqual(1);
});

it("a group published twice does not make later versions bad", async () => {
  // Found by the fuzzer: the bad group's records were kept under its version,
  // and a later version that named the same group was rejected with them.
  const fleet = VirtualFleet.create({ count: VMS });
  fleet.service.putVersion(1, buildBadRecords(1));
  fleet.startAll();
  await fleet.clock.run(5_000);
  fleet.service.putVersion(1, buildRecords(1));
  await fleet.clock.run(5_000);
  fleet.service.putVersion(2, buildRecords(1));
  await fleet.clock.run(5_000);
  expect(fleet.listVersions()).toEqual(Array(VMS).fill(2));
});
