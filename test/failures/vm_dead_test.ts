/**
 * Guards against requests that wait for the shard of a dead VM until their
 * deadlines, and against healthy VMs considered dead because messages were
 * lost, which makes owners flap. The published list lags, so only probes detect
 * a dead or silent VM; one lost probe must not suffice, and a suspect gets time
 * to refute the suspicion.
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

for (const failure of ["killed", "silent"]) {
  it(`a ${failure} VM is detected and its shards get one other owner`, async () => {
    const fleet = await startFleet({ count: 8 });
    const [owner] = listOwners(fleet, KEY);
    const index = Number(owner!.slice("vm-".length));
    expect(listOwners(fleet, KEY).size).toBe(1);
    if (failure === "killed") fleet.stopVm(owner!);
    else silence(fleet, index);
    const others = fleet.list().filter((vm) => vm.listed.id !== owner);
    const elapsedMs = await fleet.runUntil(
      () => others.every((vm) => !vm.membership.isReachable(owner!)),
      30_000,
    );
    expect(elapsedMs).toBeLessThan(6_000);
    expect(listOwners(fleet, KEY, owner!).size).toBe(1);
    expect(listOwners(fleet, KEY, owner!)).not.toContain(owner);
  });
}

it("no VM is considered dead while a tenth of the messages is lost", async () => {
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

it("another VM that answers at its address does not make a VM live", async () => {
  const fleet = await startFleet({ count: 8 });
  const stopped = toVmId(3);
  fleet.stopVm(stopped);
  const other = getVm(fleet, 4);
  fleet.network.addVm(stopped, {
    probe: async (call: ProbeCall) => await other.prober.answerProbe(call),
  } as PeerApi);
  await fleet.clock.run(10_000);
  for (const vm of fleet.list()) {
    expect(vm.membership.isReachable(stopped)).toBe(false);
  }
});

it("a VM that restarts under its id rejoins at once", async () => {
  const fleet = await startFleet({ count: 8 });
  const { listed } = getVm(fleet, 4);
  fleet.stopVm(listed.id);
  await fleet.clock.run(10_000);
  const back = fleet.addVm(listed);
  back.membership.start();
  back.follower.start();
  back.prober.start();
  const elapsedMs = await fleet.runUntil(
    () => fleet.list().every((vm) => vm.membership.isReachable(listed.id)),
    10_000,
  );
  expect(elapsedMs).toBeLessThan(3_000);
});

it("a draining VM stops owning shards within a second", async () => {
  const fleet = await startFleet({ count: 16 });
  const [owner] = listOwners(fleet, KEY);
  fleet.vms.get(owner!)!.prober.startDraining();
  const elapsedMs = await fleet.runUntil(() => {
    const owners = listOwners(fleet, KEY);
    return owners.size === 1 && !owners.has(owner);
  }, 10_000);
  expect(elapsedMs).toBeLessThan(2_000);
  await fleet.clock.run(30_000);
  expect(listOwners(fleet, KEY)).not.toContain(owner);
});
