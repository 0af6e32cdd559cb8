import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { PlatformFleet, type TestVm } from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { sendFor } from "../platform/steady_calls.ts";
import { waitUntil } from "../support/loopback.ts";

/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;
const SEND_MS = 1_500;
const VMS = 8;
/** By then only the VMs that watch for all have a watch open. */
const SETTLE_MS = 1_500;
const WATCHERS = 3;
const CHANGE_GAP_MS = 100;
const ZONE = "dc-1";

async function createFleet(): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 3, vms: VMS });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  await sleep(SETTLE_MS);
  return fleet;
}

/** Writes another key, so that the revision goes on. */
function writeOther({ store }: PlatformFleet): void {
  store.put("other/key", {});
}

function listReady(vms: readonly TestVm[], id: string): VmId[] {
  return vms.filter(({ vm }) => vm.replicas.isReady(toId(id)))
    .map(({ settings }) => settings.vm);
}

/** Expects that no VM uses the replica, and that requests are answered. */
async function checkUnused(
  fleet: PlatformFleet,
  { id, seen }: ReplicaStandIn,
): Promise<void> {
  const before = seen.length;
  const answers = await sendFor(fleet.vms, SEND_MS);
  expect(seen.length - before).toBe(0);
  expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
  expect(listReady(fleet.vms, id)).toEqual([]);
}

// Guards against a VM that uses a replica for good that has left, since its watch
// told the next change and not that one, so that its list has the position of all
// others.
for (const leaving of ["draining", "gone"]) {
  for (let watches = 1; watches <= WATCHERS; watches++) {
    it(
      `a replica that is ${leaving}, which ${watches} of 3 watches leave out, gets nothing`,
      async () => {
        const fleet = await createFleet();
        const [replica] = fleet.replicas as [ReplicaStandIn];
        const key = `servers/${replica.id}`;
        fleet.store.silenceKey(key, watches);
        if (leaving === "gone") fleet.store.remove(key);
        else fleet.listReplica(replica, { state: "draining" });
        writeOther(fleet);
        await sleep(DRAIN_MS);
        await checkUnused(fleet, replica);
      },
      20_000,
    );
  }
}

// Guards against a watch that was under way when its list was corrected, and
// whose answer puts the wrong list in the place of the right one.
it("a corrected list is kept while other entries change", async () => {
  const fleet = await createFleet();
  const [replica] = fleet.replicas as [ReplicaStandIn];
  const key = `servers/${replica.id}`;
  fleet.store.silenceKey(key, WATCHERS);
  fleet.store.remove(key);
  const until = performance.now() + DRAIN_MS;
  while (performance.now() < until) {
    writeOther(fleet);
    await sleep(CHANGE_GAP_MS);
  }
  await checkUnused(fleet, replica);
}, 20_000);

// Guards against VMs that never notice that the store was restored, since it had
// passed their revision by the time they asked, and tells no era.
it("a leaving is heard from a restored store that has caught up", async () => {
  const fleet = await createFleet();
  fleet.store.sendsEra = false;
  const copy = fleet.store.takeCopy();
  for (let index = 0; index < 3; index++) writeOther(fleet);
  await sleep(SEND_MS);
  const [replica] = fleet.replicas as [ReplicaStandIn];
  fleet.store.applyCopy(copy);
  fleet.store.remove(`servers/${replica.id}`);
  for (let index = 0; index < 4; index++) writeOther(fleet);
  await sleep(DRAIN_MS);
  await checkUnused(fleet, replica);
}, 20_000);

// Guards against a VM that refuses a data centre for good, since its watch did not
// tell that the evacuation has ended.
it("the end of an evacuation that one watch leaves out is heard", async () => {
  const fleet = await createFleet();
  const key = `op/evacuate/${ZONE}`;
  const [replica] = fleet.replicas as [ReplicaStandIn];
  fleet.store.put(key, {});
  await waitUntil(() => listReady(fleet.vms, replica.id).length === 0);
  fleet.store.silenceKey(key, 1);
  fleet.store.remove(key);
  writeOther(fleet);
  await sleep(DRAIN_MS);
  expect(listReady(fleet.vms, replica.id)).toHaveLength(VMS);
}, 20_000);

// Guards against a VM that starts on the list of another one that is wrong.
it("a VM that starts beside a wrong list learns of the leaving", async () => {
  const fleet = await createFleet();
  const [replica] = fleet.replicas as [ReplicaStandIn];
  const key = `servers/${replica.id}`;
  fleet.store.silenceKey(key, 2);
  fleet.store.remove(key);
  writeOther(fleet);
  await fleet.addVm();
  await sleep(DRAIN_MS);
  await checkUnused(fleet, replica);
}, 20_000);
