/**
 * Guards against a network partition that outlives the fault, and against one
 * side that reverts to an older configuration. During the partition one side
 * reaches the service and gets new versions. Afterwards the fleet recovers only
 * if dead VMs are still probed occasionally and the higher version wins.
 *
 * @module
 */
import { expect, it } from "vitest";
import type { VmId } from "../../src/ids.ts";
import type { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { buildRecords } from "../support/fleet_records.ts";
import {
  isEverywhere,
  listOwners,
  recordVersions,
  startFleet,
  toVmId,
} from "../support/fleet_steps.ts";

const KEY = "pool/0";

function listIds(from: number, to: number): VmId[] {
  return Array.from({ length: to - from }, (_, index) => toVmId(from + index));
}

function isConnected(fleet: VirtualFleet): boolean {
  const ids = fleet.list().map((vm) => vm.listed.id);
  return fleet.list().every((vm) =>
    ids.every((id) => vm.membership.isReachable(id))
  );
}

for (const [size, cutAt] of [[8, 4], [8, 1], [32, 10]] as const) {
  it(`${cutAt} of ${size} VMs rejoin the fleet after a partition`, async () => {
    const fleet = await startFleet({ count: size });
    const left = listIds(0, cutAt);
    const right = listIds(cutAt, size);
    const recorded = fleet.list().map(recordVersions);
    fleet.network.cutBetween(left, right);
    fleet.service.reachableBy = new Set(right);
    await fleet.clock.run(30_000);
    const leftOwners = left.map((vm) =>
      fleet.vms.get(vm)!.membership.findOwner(KEY)
    );
    const rightOwners = right.map((vm) =>
      fleet.vms.get(vm)!.membership.findOwner(KEY)
    );
    expect(new Set(leftOwners).size).toBe(1);
    expect(new Set(rightOwners).size).toBe(1);
    expect(left).toContain(leftOwners[0]);
    expect(right).toContain(rightOwners[0]);
    // Engine commands require a recent view of the published list.
    for (const vm of left) {
      const { membership } = fleet.vms.get(vm)!;
      expect(membership.getViewAgeMs()).toBeGreaterThan(20_000);
    }
    for (const vm of right) {
      const { membership } = fleet.vms.get(vm)!;
      expect(membership.getViewAgeMs()).toBeLessThan(10_000);
    }
    fleet.service.putVersion(2, buildRecords(2));
    await fleet.clock.run(10_000);
    fleet.network.heal();
    const elapsedMs = await fleet.runUntil(
      () => isConnected(fleet) && isEverywhere(fleet, 2),
      60_000,
    );
    expect(elapsedMs).toBeLessThan(15_000);
    expect(listOwners(fleet, KEY).size).toBe(1);
    expect(recorded.every((one) => one.join() === "2")).toBe(true);
  });
}

it("both sides keep serving when neither reaches the service", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.service.isDown = true;
  fleet.network.cutBetween(listIds(0, 4), listIds(4, 8));
  await fleet.clock.run(60_000);
  expect(isEverywhere(fleet, 1)).toBe(true);
  fleet.network.heal();
  await fleet.runUntil(() => isConnected(fleet), 15_000);
});
