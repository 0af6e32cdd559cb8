import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import {
  VirtualSeededFleet,
  type VirtualVm,
} from "../support/virtual_seeded_fleet.ts";

/** Time within which all VMs have to know that a replica left. */
const SMALL_FLEET_BOUND_MS = 2_000;
const LARGE_FLEET_BOUND_MS = 3_000;
const WAIT_MS = 6_000;
const PAUSE_MS = 1_000;
const PAUSE_STEP_MS = 137;
const CONNECT_TIMEOUT_MS = 250;
const BUSY_STORE_MS = 2_000;

/** Half of the connections between VMs, in no regular order. */
function isHalfSilent(from: VirtualVm, to: VirtualVm): boolean {
  return (31 * from.index + 17 * to.index) % 10 < 5;
}

/** Removes replicas one by one; the longest time until all VMs know. */
async function removeReplicas(
  fleet: VirtualSeededFleet,
  count: number,
): Promise<number> {
  const times: number[] = [];
  for (let index = 1; index <= count; index++) {
    times.push(...await fleet.runRemoval(toId<VmId>(`i-${index}`), WAIT_MS));
    await fleet.clock.run(PAUSE_MS + index * PAUSE_STEP_MS);
  }
  fleet.stop();
  return Math.max(...times);
}

// Guards against a VM that hears of a newer list and waits for one silent
// connection after the other instead of getting it elsewhere.
describe("while connections between VMs are silent", () => {
  it("a small fleet learns in time that a replica left", async () => {
    const fleet = await VirtualSeededFleet.create({
      vms: 8,
      dataCentres: 4,
      replicas: 10,
      seed: 3,
    });
    fleet.isSilent = isHalfSilent;
    expect(await removeReplicas(fleet, 8)).toBeLessThan(SMALL_FLEET_BOUND_MS);
  });

  it("a large fleet learns in time that a replica left", async () => {
    const fleet = await VirtualSeededFleet.create({
      vms: 89,
      dataCentres: 4,
      replicas: 10,
    });
    let storeCalls = 0;
    fleet.isSilent = (from, to) => (31 * from.index + 17 * to.index) % 10 < 5;
    fleet.failStoreCall = () => {
      storeCalls += 1;
      return storeCalls % 10 === 0 ? CONNECT_TIMEOUT_MS : undefined;
    };
    expect(await removeReplicas(fleet, 4)).toBeLessThan(LARGE_FLEET_BOUND_MS);
  }, 60_000);
});

// Guards against a VM that waits as if the store were unavailable to the whole
// fleet because one call of its own failed, while it hears from no other VM.
it("a VM that is cut off from the others learns in time", async () => {
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  const cutOff = fleet.vms[5]!;
  let storeCalls = 0;
  fleet.isCut = (from, to) => from === cutOff || to === cutOff;
  fleet.failStoreCall = (vm) => {
    if (vm !== cutOff) return undefined;
    storeCalls += 1;
    return storeCalls % 4 === 0 ? CONNECT_TIMEOUT_MS : undefined;
  };
  expect(await removeReplicas(fleet, 4)).toBeLessThan(LARGE_FLEET_BOUND_MS);
}, 60_000);

// Guards against a VM that knows of a newer list which no VM sends it, and turns
// to the store only when its own list counts as old.
it(
  "a VM that gets no newer list from others reads the store in time",
  async () => {
    const times: number[] = [];
    for (const seed of [1, 2, 3]) {
      const fleet = await VirtualSeededFleet.create({
        vms: 8,
        dataCentres: 4,
        replicas: 10,
        seed,
      });
      fleet.isSilent = () => true;
      const failing = new Set(
        fleet.vms.filter(({ follower }) => !follower.isWatching),
      );
      fleet.failStoreCall = (vm) =>
        failing.delete(vm) ? CONNECT_TIMEOUT_MS : undefined;
      await fleet.clock.run(seed * PAUSE_STEP_MS);
      times.push(...await fleet.runRemoval(toId<VmId>("i-1"), WAIT_MS));
      fleet.stop();
    }
    expect(Math.max(...times)).toBeLessThan(SMALL_FLEET_BOUND_MS);
  },
  60_000,
);

// Guards against VMs that know of a newer list and go on sending to a replica
// whose leaving is in it, while the few VMs that have it, and the store, are too
// busy to hand it out.
it("a leaving is known before the list that shows it", async () => {
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  fleet.isSilent = () => true;
  fleet.storeCallMs = BUSY_STORE_MS;
  const times = await fleet.runRemoval(toId<VmId>("i-1"), WAIT_MS);
  fleet.stop();
  expect(Math.max(...times)).toBeLessThan(SMALL_FLEET_BOUND_MS);
}, 60_000);
