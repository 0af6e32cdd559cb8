import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { VirtualSeededFleet } from "../../support/virtual_seeded_fleet.ts";

/** A replica may get requests for so long after it has left. */
const DRAIN_MS = 2_000;
const COUNTED_MS = 4_000;
const STEP_MS = 10;
const LEAVING = toId<VmId>("i-1");
const OTHER = toId<VmId>("i-2");
/** What the store serves in a second. */
const MAX_CALLS_PER_S = 2_000;
/** VMs that read everything: some of each list, and the one that audits. */
const MAX_READING = 20;

/**
 * Removes a replica, which `watchers` of the VMs that watch the store do not
 * hear; another change follows. Gives the time after which all VMs know.
 */
async function runRemoval(vms: number, watchers: number) {
  const fleet = await VirtualSeededFleet.create({
    vms,
    dataCentres: 4,
    replicas: 10,
  });
  const deceived = fleet.vms.filter(({ follower }) => follower.isWatching)
    .slice(0, watchers);
  expect(deceived).toHaveLength(watchers);
  for (const vm of deceived) vm.misses = ({ id }) => id === LEAVING;
  const before = countCalls(fleet);
  const startedAt = fleet.clock.now();
  fleet.remove(LEAVING);
  fleet.list(OTHER);
  let knownAfterMs = Infinity;
  let most = 0;
  while (fleet.clock.now() < startedAt + COUNTED_MS) {
    await fleet.clock.run(STEP_MS);
    const unaware = fleet.vms.filter(({ replicas }) =>
      replicas.isReady(LEAVING)
    ).length;
    most = Math.max(most, unaware);
    if (unaware > 0) knownAfterMs = Infinity;
    else knownAfterMs = Math.min(knownAfterMs, fleet.clock.now() - startedAt);
  }
  const after = countCalls(fleet);
  const reading =
    fleet.vms.filter(({ wholeReads }, index) =>
      wholeReads > before.reads[index]!
    ).length;
  fleet.stop();
  return { knownAfterMs, most, calls: after.calls - before.calls, reading };
}

function countCalls({ vms }: VirtualSeededFleet) {
  return {
    calls: vms.reduce((sum, { storeCalls }) => sum + storeCalls, 0),
    reads: vms.map(({ wholeReads }) => wholeReads),
  };
}

// Guards against VMs whose lists lack a leaving at the position of all others for
// longer than the replica may get requests, and against a fleet that reads the
// store from all its VMs to find out.
for (const vms of [8, 89]) {
  for (const watchers of [1, 2]) {
    it(`${vms} VMs learn what ${watchers} of 3 watches leave out`, async () => {
      const result = await runRemoval(vms, watchers);
      expect(result.knownAfterMs).toBeLessThan(DRAIN_MS);
      expect(result.reading).toBeLessThanOrEqual(MAX_READING);
      expect(result.calls).toBeLessThan(MAX_CALLS_PER_S * COUNTED_MS / 1_000);
    }, 60_000);
  }
}
