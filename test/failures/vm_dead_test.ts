/**
 * Symptom: requests of one shard wait until their deadlines and nothing is in
 * the log; or VMs that are well are taken for dead and owners change to and fro.
 *
 * Sequence: a VM's process ends, or the VM goes silent; or messages get lost
 * while all VMs are well.
 *
 * Cause: the published list lags, so only probes tell; and one lost probe must
 * not be enough. A suspect has time to refute.
 *
 * @module
 */
import { expect, it } from "vitest";
import type { PeerApi, ProbeCall } from "../../src/process/peer_api.ts";
import {
  getVm,
  listOwners,
  startFleet,
  toVmId,
} from "../support/fleet_steps.ts";
import type { VirtualFleet } from "../../standin/virtual_fleet.ts";

const KEY = "pool/0";

function silence(fleet: VirtualFleet, index: number): void {
  const others = fleet.list().map((vm) => vm.listed.id);
  fleet.network.cutBetween(
    [toVmId(index)],
    others.filter((vm) => vm !== toVmId(index)),
  );
}

for (const how of ["killed", "silent"]) {
  it(`a ${how} VM is noticed and its shards get one other owner`, async () => {
    const fleet = await startFleet({ count: 8 });
    const [owner] = listOwners(fleet, KEY);
    const index = Number(owner!.slice("vm-".length));
    expect(listOwners(fleet, KEY).size).toBe(1);
    if (how === "killed") fleet.stopVm(owner!);
    else silence(fleet, index);
    const others = fleet.list().filter((vm) => vm.listed.id !== owner);
    const took = await fleet.runUntil(
      () => others.every((vm) => !vm.membership.isReachable(owner!)),
      30_000,
    );
    expect(took).toBeLessThan(6_000);
    expect(listOwners(fleet, KEY, owner!).size).toBe(1);
    expect(listOwners(fleet, KEY, owner!)).not.toContain(owner);
  });
}

it("nobody is taken for dead while a tenth of the messages is lost", async () => {
  const fleet = await startFleet({ count: 16, seed: 3 });
  fleet.network.setLossRate(0.1);
  let falseDeaths = 0;
  for (const vm of fleet.list()) {
    vm.membership.onChange(() => {
      const ids = fleet.list().map((other) => other.listed.id);
      if (ids.some((id) => !vm.membership.isReachable(id))) falseDeaths += 1;
    });
  }
  await fleet.clock.run(120_000);
  expect(falseDeaths).toBe(0);
});

it("one broken link does not make a VM dead", async () => {
  const fleet = await startFleet({ count: 8 });
  fleet.network.cut(toVmId(0), toVmId(1));
  await fleet.clock.run(30_000);
  expect(getVm(fleet, 0).membership.isReachable(toVmId(1))).toBe(true);
  expect(getVm(fleet, 1).membership.isReachable(toVmId(0))).toBe(true);
});

it("another VM that answers at the address does not stand for it", async () => {
  const fleet = await startFleet({ count: 8 });
  const gone = toVmId(3);
  fleet.stopVm(gone);
  const other = getVm(fleet, 4);
  fleet.network.addVm(gone, {
    probe: async (call: ProbeCall) => await other.prober.answerProbe(call),
  } as PeerApi);
  await fleet.clock.run(10_000);
  for (const vm of fleet.list()) {
    expect(vm.membership.isReachable(gone)).toBe(false);
  }
});

it("a VM that comes back under its id is taken in at once", async () => {
  const fleet = await startFleet({ count: 8 });
  const { listed } = getVm(fleet, 4);
  fleet.stopVm(listed.id);
  await fleet.clock.run(10_000);
  const back = fleet.addVm(listed);
  back.membership.start();
  back.follower.start();
  back.prober.start();
  const took = await fleet.runUntil(
    () => fleet.list().every((vm) => vm.membership.isReachable(listed.id)),
    10_000,
  );
  expect(took).toBeLessThan(3_000);
});

it("a VM that drains owns nothing any more, within a second", async () => {
  const fleet = await startFleet({ count: 16 });
  const [owner] = listOwners(fleet, KEY);
  fleet.vms.get(owner!)!.prober.startDraining();
  const took = await fleet.runUntil(() => {
    const owners = listOwners(fleet, KEY);
    return owners.size === 1 && !owners.has(owner);
  }, 10_000);
  expect(took).toBeLessThan(2_000);
  await fleet.clock.run(30_000);
  expect(listOwners(fleet, KEY)).not.toContain(owner);
});
