import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { VirtualSeededFleet } from "../support/virtual_seeded_fleet.ts";

const LEFT = toId<VmId>("i-1");
const FAILED_CALL_MS = 300;
/** Time after which a short watch on a silent connection fails. */
const SILENT_CALL_MS = 720;
/** Time within which all VMs have to know that a replica left. */
const LEAVING_BOUND_MS = 3_000;
/** Longer than two renewals of an entry. */
const CUT_MS = 4_000;
const REMOVED_AFTER_MS = 1_000;
const LIMIT_MS = 2_000;

// Guards against a VM that takes its own path to the store for the store: it
// hears that the store answers others with a newer list, cannot fetch that list,
// and retains a replica that has left as one whose entry expired in an outage.
it("a VM retains nothing if the store answered others meanwhile", async () => {
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  const cutOff = fleet.vms.find(({ follower }) => !follower.isWatching)!;
  fleet.isSilent = (from) => from === cutOff;
  fleet.failStoreCall = (vm) => vm === cutOff ? FAILED_CALL_MS : undefined;
  await fleet.clock.run(REMOVED_AFTER_MS);
  fleet.remove(LEFT);
  await fleet.clock.run(CUT_MS - REMOVED_AFTER_MS);
  expect(cutOff.follower.isStoreLost).toBe(true);
  expect(cutOff.replicas.find(LEFT)).toBeDefined();
  fleet.failStoreCall = () => undefined;
  for (let ms = 0; ms < LIMIT_MS && cutOff.follower.isStoreLost; ms++) {
    await fleet.clock.run(1);
  }
  fleet.stop();
  expect(cutOff.follower.isStoreLost).toBe(false);
  expect(cutOff.replicas.find(LEFT)).toBeUndefined();
});

// Guards against a VM that hears from no other for two seconds and takes one call
// that failed after that for an outage of the store.
it("a VM retains nothing for a single failed call beside an old view", async () => {
  const fleet = await VirtualSeededFleet.create({
    vms: 89,
    dataCentres: 4,
    replicas: 10,
  });
  const cutOff = fleet.vms.find(({ follower }) => !follower.isWatching)!;
  fleet.isCut = (from, to) => from === cutOff || to === cutOff;
  let failures = 0;
  fleet.failStoreCall = (vm) => {
    if (vm !== cutOff || failures > 0) return undefined;
    failures += 1;
    return SILENT_CALL_MS;
  };
  const times = await fleet.runRemoval(LEFT, 2 * LEAVING_BOUND_MS);
  fleet.stop();
  expect(failures).toBe(1);
  expect(times[cutOff.index]).toBeLessThan(LEAVING_BOUND_MS);
});
