import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, type TestVm } from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { type CalledStream, sendStream } from "../platform/stream_caller.ts";

const VMS = 2;
const REPLICAS_OF_A_VERSION = 2;
const STREAMS = 12;
const PATH = "/retake/stream";

/** Replicas of each version, by their ids. */
type Versions = Map<string, string>;

interface TestFleet {
  fleet: PlatformFleet;
  versions: Versions;
}

async function createFleet(listed: readonly string[]): Promise<TestFleet> {
  const fleet = await PlatformFleet.create({ replicas: 0, vms: 0 });
  const created: TestFleet = { fleet, versions: new Map() };
  for (const version of listed) await addVersion(created, version);
  await startVms(created);
  return created;
}

async function addVersion(
  { fleet, versions }: TestFleet,
  version: string,
): Promise<void> {
  for (let index = 0; index < REPLICAS_OF_A_VERSION; index++) {
    const id = `${version}-${index}`;
    const replica: ReplicaStandIn = await fleet.addReplica(id, "pool", version);
    replica.isBroken = ({ headers }) => headers["last-event-id"] === undefined;
    versions.set(id, version);
  }
}

function removeVersion({ fleet, versions }: TestFleet, version: string): void {
  for (const [id, each] of versions) {
    if (each === version) fleet.store.remove(`servers/${id}`);
  }
}

async function startVms({ fleet }: TestFleet): Promise<void> {
  for (let count = 0; count < VMS; count++) await fleet.addVm();
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
}

/** Stops all VMs, changes the replicas, and starts other VMs. */
async function replaceVms(
  created: TestFleet,
  changeReplicas: () => Promise<void> | void,
): Promise<void> {
  const stopped = created.fleet.vms.splice(0);
  await Promise.all(stopped.map(({ vm }) => vm.stop()));
  await changeReplicas();
  await startVms(created);
}

/** Calls streams that break once and are taken up at another VM. */
function runStreams(
  { fleet }: TestFleet,
  options: { isNamed: boolean; onAllBroken?: () => Promise<void> },
): Promise<CalledStream[]> {
  let broken = 0;
  let allBroken: Promise<void> | undefined;
  const onBroken = async () => {
    broken += 1;
    await waitUntil(() => broken === STREAMS);
    allBroken ??= options.onAllBroken?.();
    await allBroken;
  };
  const chooseVm = (number: number): TestVm => fleet.vms[number % VMS]!;
  return Promise.all(Array.from({ length: STREAMS }, (_, stream) =>
    sendStream({
      path: PATH,
      id: String(stream),
      isNamed: options.isNamed,
      vms: [() => chooseVm(stream), () => chooseVm(stream + 1)],
      onBroken,
    })));
}

function countMixed(
  { versions }: TestFleet,
  streams: readonly CalledStream[],
): number {
  return streams.filter(({ replicas }) =>
    new Set(replicas.map((each) => versions.get(each))).size > 1
  ).length;
}

for (const isNamed of [true, false]) {
  const caller = isNamed ? "names it" : "does not name it";

  // Guards against the rest of a stream that is joined to what another software
  // version wrote, at VMs that have all just started: none of them was there
  // when the stream began, and its version may have left meanwhile.
  describe(`a stream that began before all VMs were killed and whose caller ${caller}`, () => {
    it("goes on at no new version while the old one has left", async () => {
      const created = await createFleet(["v1"]);
      const onAllBroken = () =>
        replaceVms(created, async () => {
          removeVersion(created, "v1");
          await addVersion(created, "v2");
        });
      const streams = await runStreams(created, { isNamed, onAllBroken });
      expect(countMixed(created, streams)).toBe(0);
    });

    it("goes on at none of two versions in service", async () => {
      const created = await createFleet(["v1", "v2"]);
      const onAllBroken = () => replaceVms(created, () => {});
      const streams = await runStreams(created, { isNamed, onAllBroken });
      expect(countMixed(created, streams)).toBe(0);
    });

    it("goes on at no version that is left of two", async () => {
      const created = await createFleet(["v1", "v2"]);
      const onAllBroken = () =>
        replaceVms(created, () => removeVersion(created, "v1"));
      const streams = await runStreams(created, { isNamed, onAllBroken });
      expect(countMixed(created, streams)).toBe(0);
    });
  });

  // Guards against VMs that refuse the streams which they began themselves,
  // because they can't tell what was there before they started.
  describe(`a stream that began after all VMs were killed and whose caller ${caller}`, () => {
    for (const versions of [["v1"], ["v1", "v2"]]) {
      it(`goes on with ${versions.length} in service`, async () => {
        const created = await createFleet(versions);
        await replaceVms(created, () => {});
        const streams = await runStreams(created, { isNamed });
        expect(countMixed(created, streams)).toBe(0);
        expect(streams.filter(({ isWhole }) => isWhole)).toHaveLength(STREAMS);
      });
    }
  });
}
