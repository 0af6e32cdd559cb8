/**
 * Guards against two VMs that act as owner of one shard, which grants twice the
 * slots of a replica. The owner's process is stopped, the others take over its
 * shards, and the process resumes with outdated member states, while its
 * timeouts seem to have expired for all others. It must detect the gap by its
 * monotonic clock, own nothing, and receive the fleet's state before it acts.
 *
 * @module
 */
import { expect, it } from "vitest";
import type { VmId } from "../../src/ids.ts";
import type { VirtualFleet } from "../../standin/virtual_fleet.ts";
import { buildRecords } from "../support/fleet_records.ts";
import { listOwners, startFleet, toVmId } from "../support/fleet_steps.ts";

const KEY = "pool/0";

async function pauseOwner(
  fleet: VirtualFleet,
  ms: number,
): Promise<VmId> {
  const [owner] = listOwners(fleet, KEY);
  fleet.network.pause(owner!);
  await fleet.clock.run(ms);
  return owner!;
}

it("owns nothing until it has received the fleet's state", async () => {
  const fleet = await startFleet({ count: 8 });
  const owner = await pauseOwner(fleet, 15_000);
  const { membership } = fleet.vms.get(owner)!;
  expect(listOwners(fleet, KEY, owner)).not.toContain(owner);
  fleet.network.resume(owner);
  expect(membership.isRecovering()).toBe(true);
  expect(membership.findOwner(KEY)).not.toBe(owner);
  await fleet.runUntil(() => !membership.isRecovering(), 2_000);
  await fleet.runUntil(
    () =>
      listOwners(fleet, KEY).size === 1 && listOwners(fleet, KEY).has(owner),
    5_000,
  );
});

it("detects the gap even before any of its timers has run", async () => {
  const fleet = await startFleet({ count: 8 });
  const owner = await pauseOwner(fleet, 5_000);
  const { membership } = fleet.vms.get(owner)!;
  // Still stopped: this is the first code that runs when it resumes.
  expect(membership.findOwner(KEY)).not.toBe(owner);
});

it("suspects nobody because of its own pause", async () => {
  const fleet = await startFleet({ count: 4 });
  const owner = toVmId(0);
  const others = [1, 2, 3].map(toVmId);
  const { membership } = fleet.vms.get(owner)!;
  // Slow links, and one that is cut, so that many pauses happen while indirect
  // probes are in flight.
  for (const vm of others) fleet.network.setDelay(owner, vm, 90);
  fleet.network.cut(owner, others[0]!);
  let suspicions = 0;
  membership.onChange(() => {
    const isSuspected = (vm: VmId) =>
      membership.findSuspicion(vm) !== undefined;
    if (others.some(isSuspected)) suspicions += 1;
  });
  for (let pause = 0; pause < 40; pause += 1) {
    fleet.network.pause(owner);
    await fleet.clock.run(5_000);
    fleet.network.resume(owner);
    await fleet.clock.run(3_000 + 70 * pause);
  }
  expect(suspicions).toBe(0);
});

it("restarts the suspicion timeout of a suspect", async () => {
  const fleet = await startFleet({ count: 8 });
  const [owner] = listOwners(fleet, KEY);
  const { membership } = fleet.vms.get(owner!)!;
  const suspect = fleet.list().map((vm) => vm.listed.id).find((vm) =>
    vm !== owner
  )!;
  membership.noteProbeFailure(suspect);
  await pauseOwner(fleet, 10_000);
  expect(membership.isRecovering()).toBe(true);
  expect(membership.applySuspicionTimeout(1_500)).toEqual([]);
  expect(membership.isReachable(suspect)).toBe(true);
});

it("applies the newer configuration before it acts as an owner", async () => {
  const fleet = await startFleet({ count: 8 });
  const [owner] = listOwners(fleet, KEY);
  const others = fleet.list().map((vm) => vm.listed.id).filter((vm) =>
    vm !== owner
  );
  // No message is queued for it that would carry the version at once.
  fleet.network.cutBetween([owner!], others);
  await pauseOwner(fleet, 5_000);
  fleet.service.reachableBy = new Set(others);
  fleet.service.putVersion(2, buildRecords(2));
  await fleet.clock.run(5_000);
  const { membership, follower } = fleet.vms.get(owner!)!;
  // Slow links, so that a fetch takes far longer than a step of this test.
  for (const vm of others) fleet.network.setDelay(owner!, vm, 50);
  fleet.network.heal();
  fleet.network.resume(owner!);
  await fleet.runUntil(() => !membership.isRecovering(), 2_000);
  expect(follower.getSnapshot()!.version).toBe(2);
});

it("acts alone again when no other VM answers after the pause", async () => {
  const fleet = await startFleet({ count: 4 });
  const owner = await pauseOwner(fleet, 5_000);
  const others = fleet.list().map((vm) => vm.listed.id).filter((vm) =>
    vm !== owner
  );
  fleet.network.cutBetween([owner], others);
  const { membership } = fleet.vms.get(owner)!;
  fleet.network.resume(owner);
  await fleet.clock.run(1_000);
  expect(membership.isRecovering()).toBe(true);
  await fleet.runUntil(() => membership.findOwner(KEY) === owner, 10_000);
});

it("half of the fleet rejoins after a pause", async () => {
  const fleet = await startFleet({ count: 8 });
  const paused = [0, 1, 2, 3].map(toVmId);
  for (const vm of paused) fleet.network.pause(vm);
  await fleet.clock.run(20_000);
  for (const vm of paused) fleet.network.resume(vm);
  await fleet.runUntil(() => listOwners(fleet, KEY).size === 1, 15_000);
  const elapsedMs = await fleet.runUntil(
    () =>
      fleet.list().every((vm) =>
        fleet.list().every((other) =>
          vm.membership.isReachable(other.listed.id)
        )
      ),
    15_000,
  );
  expect(elapsedMs).toBeLessThan(15_000);
});
