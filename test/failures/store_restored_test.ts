import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { buildConfiguration } from "../platform/configurations.ts";
import {
  PlatformFleet,
  sendRequest,
  type TestVm,
} from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { sendFor } from "../platform/steady_calls.ts";
import { waitUntil } from "../support/loopback.ts";

/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;
/** A configuration is in force at all VMs within this time. */
const APPLY_MS = 2_000;
const AWAY_MS = 1_000;
const SEND_MS = 1_000;
const VMS = 4;
/** Changes after the copy was made. */
const LOST_CHANGES = 20;

async function createFleet(
  options: { vms?: number; replicas?: number } = {},
): Promise<PlatformFleet> {
  const { vms = VMS, replicas = 3 } = options;
  const fleet = await PlatformFleet.create({ replicas, vms });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === vms)
  );
  return fleet;
}

/** Writes other keys, so that the copy is so many revisions behind. */
function writeOthers({ store }: PlatformFleet, count: number): void {
  for (let index = 0; index < count; index++) store.put("other/key", index);
}

/** The store is away, and back as it was when `copy` was made. */
async function runRestore(
  { store }: PlatformFleet,
  copy: ReturnType<PlatformFleet["store"]["takeCopy"]>,
  awayMs = AWAY_MS,
): Promise<void> {
  store.mode = "reset";
  store.destroyConnections();
  await sleep(awayMs);
  store.applyCopy(copy);
  store.mode = "up";
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
  for (const { vm } of fleet.vms) {
    expect(vm.replicas.isReady(toId(id))).toBe(false);
  }
}

function isReadyEverywhere(fleet: PlatformFleet, id: string): boolean {
  return fleet.vms.every(({ vm }) => vm.replicas.isReady(toId<VmId>(id)));
}

function listVersions(vms: readonly TestVm[]): number[] {
  return vms.map(({ vm }) => vm.getSnapshot()?.version ?? 0);
}

// Guards against a fleet that hears no change any more, since its list has a
// higher revision than the store, whose watches end with 410 for good.
it.each(["draining", "gone"])(
  "a replica that is %s after the store was restored gets nothing new",
  async (leaving) => {
    const fleet = await createFleet();
    const copy = fleet.store.takeCopy();
    writeOthers(fleet, LOST_CHANGES);
    await sleep(SEND_MS);
    await runRestore(fleet, copy);
    await sleep(SEND_MS);
    const [replica] = fleet.replicas;
    if (leaving === "gone") fleet.store.remove(`servers/${replica!.id}`);
    else fleet.listReplica(replica!, { state: "draining" });
    await sleep(DRAIN_MS);
    await checkUnused(fleet, replica!);
  },
  20_000,
);

// Guards against a change that is missed for good, since the store had given out
// the revision that the VMs knew again by the time they asked.
it("a change is heard whose revision was given out before", async () => {
  const fleet = await createFleet();
  const copy = fleet.store.takeCopy();
  writeOthers(fleet, LOST_CHANGES);
  await sleep(SEND_MS);
  const known = fleet.store.revision;
  fleet.store.mode = "reset";
  fleet.store.destroyConnections();
  await sleep(AWAY_MS);
  fleet.store.applyCopy(copy);
  const [replica] = fleet.replicas;
  fleet.listReplica(replica!, { state: "draining" });
  while (fleet.store.revision <= known) writeOthers(fleet, 1);
  fleet.store.mode = "up";
  await sleep(DRAIN_MS);
  await checkUnused(fleet, replica!);
}, 20_000);

// Guards against calls to the store without a pause, by all VMs, as long as its
// revision is below theirs.
it("VMs do not call a restored store without a pause", async () => {
  const fleet = await createFleet({ vms: 8 });
  const copy = fleet.store.takeCopy();
  writeOthers(fleet, LOST_CHANGES);
  await sleep(SEND_MS);
  await runRestore(fleet, copy);
  await sleep(SEND_MS);
  const before = fleet.store.calls.length;
  await sleep(SEND_MS);
  const perSecond = (fleet.store.calls.length - before) * 1_000 / SEND_MS;
  expect(perSecond).toBeLessThan(100);
}, 20_000);

// Guards against a replica that has left and gets requests again, since a copy
// of the store from before shows it as ready.
it.each(["draining", "gone"])(
  "a replica that was %s before the copy was restored gets nothing new",
  async (leaving) => {
    const fleet = await createFleet();
    const copy = fleet.store.takeCopy();
    const [replica] = fleet.replicas;
    if (leaving === "gone") fleet.store.remove(`servers/${replica!.id}`);
    else fleet.listReplica(replica!, { state: "draining" });
    await waitUntil(() =>
      fleet.vms.every(({ vm }) => !vm.replicas.isReady(toId(replica!.id)))
    );
    await runRestore(fleet, copy);
    await checkUnused(fleet, replica!);
    // Its entry expires, or is written again.
    fleet.store.remove(`servers/${replica!.id}`);
    await checkUnused(fleet, replica!);
  },
  20_000,
);

// Guards against a VM that takes a replica that has left for ready, since it
// started on a copy of the store that shows it so.
it("a VM that starts on the copy hears which replicas have left", async () => {
  const fleet = await createFleet();
  const copy = fleet.store.takeCopy();
  const [replica] = fleet.replicas;
  fleet.store.remove(`servers/${replica!.id}`);
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => !vm.replicas.isReady(toId(replica!.id)))
  );
  await runRestore(fleet, copy);
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.replicas.find(toId(replica!.id)))
  );
  await fleet.addVm();
  await checkUnused(fleet, replica!);
}, 20_000);

// Guards against sound replicas that get no requests, since they joined after
// the copy was made and have not written their entries again.
it(
  "a replica that the copy lacks is kept until it has written again",
  async () => {
    const fleet = await createFleet();
    const copy = fleet.store.takeCopy();
    const joined = await fleet.addReplica("i-new");
    await waitUntil(() => isReadyEverywhere(fleet, joined.id));
    await runRestore(fleet, copy, 300);
    const since = performance.now();
    while (performance.now() - since < 1_000) {
      expect(isReadyEverywhere(fleet, joined.id)).toBe(true);
      await sleep(20);
    }
    fleet.listReplica(joined);
    await sleep(2 * DRAIN_MS);
    expect(isReadyEverywhere(fleet, joined.id)).toBe(true);
  },
  20_000,
);

it(
  "a replica that the copy lacks and that writes no more is dropped",
  async () => {
    const fleet = await createFleet();
    const copy = fleet.store.takeCopy();
    const joined = await fleet.addReplica("i-new");
    await waitUntil(() => isReadyEverywhere(fleet, joined.id));
    await runRestore(fleet, copy, 300);
    await sleep(2 * DRAIN_MS);
    await checkUnused(fleet, joined);
  },
  20_000,
);

// Guards against a replica whose notice that it leaves is forgotten, since the copy
// lacks it and it then writes itself again as ready.
it("a leaving replica that the copy lacks gets nothing new", async () => {
  const fleet = await createFleet();
  const { items, revision } = fleet.store.takeCopy();
  const [leaving] = fleet.replicas;
  const id = toId<VmId>(leaving!.id);
  const others = [...items].filter(([key]) => key !== `servers/${id}`);
  leaving!.extraHeaders = { "server-leaving": "1" };
  while (fleet.vms.some(({ vm }) => vm.replicas.isReady(id))) {
    await sendFor(fleet.vms, SEND_MS / 10);
  }
  await runRestore(fleet, { items: new Map(others), revision }, 300);
  await waitUntil(() => fleet.vms.every(({ vm }) => !vm.replicas.find(id)));
  fleet.listReplica(leaving!);
  await waitUntil(() => fleet.vms.every(({ vm }) => vm.replicas.find(id)));
  await checkUnused(fleet, leaving!);
}, 20_000);

// Guards against a configuration, or a key, that comes back after it was
// replaced, since a copy of the store still has it.
it("an older configuration of the copy is not taken up", async () => {
  const fleet = await createFleet();
  const copy = fleet.store.takeCopy();
  fleet.store.put("op/config", buildConfiguration(5));
  await waitUntil(() => listVersions(fleet.vms).every((each) => each === 5));
  await runRestore(fleet, copy);
  await sleep(SEND_MS);
  expect(listVersions(fleet.vms)).toEqual(fleet.vms.map(() => 5));
  const started = await fleet.addVm();
  const answer = await sendRequest(started, { path: "/safe/x" });
  expect(answer.status).toBe(200);
  expect(listVersions(fleet.vms)).toEqual(fleet.vms.map(() => 5));
  fleet.store.put("op/config", buildConfiguration(9));
  await sleep(APPLY_MS);
  expect(listVersions(fleet.vms)).toEqual(fleet.vms.map(() => 9));
}, 20_000);

// Guards against requests to a data centre that the operator has evacuated,
// since a copy of the store lacks the operator's word.
it(
  "an evacuation that the copy lacks holds until it is written again",
  async () => {
    const fleet = await createFleet();
    const copy = fleet.store.takeCopy();
    const zone = "dc-1";
    fleet.store.put(`op/evacuate/${zone}`, {});
    const [{ id }] = fleet.replicas as [ReplicaStandIn];
    await waitUntil(() => !fleet.vms.some(() => isReadyEverywhere(fleet, id)));
    await runRestore(fleet, copy);
    await sleep(SEND_MS);
    expect(fleet.vms.some(({ vm }) => vm.replicas.isReady(toId(id)))).toBe(
      false,
    );
    fleet.store.put(`op/evacuate/${zone}`, {});
    await sleep(SEND_MS);
    fleet.store.remove(`op/evacuate/${zone}`);
    await sleep(DRAIN_MS);
    expect(isReadyEverywhere(fleet, id)).toBe(true);
  },
  20_000,
);

// Guards against a second copy that is taken for the first one.
it("changes are heard after a store was restored twice", async () => {
  const fleet = await createFleet();
  const copy = fleet.store.takeCopy();
  writeOthers(fleet, LOST_CHANGES);
  await sleep(SEND_MS);
  await runRestore(fleet, copy, 300);
  writeOthers(fleet, LOST_CHANGES);
  await sleep(300);
  await runRestore(fleet, copy, 300);
  const [replica] = fleet.replicas;
  fleet.store.remove(`servers/${replica!.id}`);
  await sleep(DRAIN_MS);
  await checkUnused(fleet, replica!);
}, 20_000);

// Guards against VMs that keep what an older copy said, since the store does not
// tell of which copy its answers are.
it("changes are heard from a restored store that tells no era", async () => {
  const fleet = await createFleet();
  fleet.store.sendsEra = false;
  const copy = fleet.store.takeCopy();
  writeOthers(fleet, LOST_CHANGES);
  await sleep(SEND_MS);
  await runRestore(fleet, copy);
  await sleep(SEND_MS);
  const [replica] = fleet.replicas;
  fleet.store.remove(`servers/${replica!.id}`);
  await sleep(DRAIN_MS);
  await checkUnused(fleet, replica!);
}, 20_000);
