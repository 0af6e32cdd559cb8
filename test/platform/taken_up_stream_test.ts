import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../src/ids.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration, ROUTES } from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";
import type { ReplicaStandIn } from "./replica_stand_in.ts";
import type { TestAnswer } from "./test_call.ts";

const PATH = "/retake/stream";
const LISTING_TIMEOUT_MS = 30;

interface Taken {
  fleet: PlatformFleet;
  vms: [TestVm, TestVm];
}

/** Two VMs, and replicas with the given versions, which break streams off. */
async function createFleet(
  versions: (string | undefined)[],
  logs: FakeLog[] = [],
): Promise<Taken> {
  const fleet = await PlatformFleet.create({ replicas: 0, vms: 0 });
  for (const [index, version] of versions.entries()) {
    const replica = await fleet.addReplica(`i-${index}`, "pool", version);
    replica.isBroken = ({ headers }) => headers["last-event-id"] === undefined;
  }
  for (let index = 0; index < 2; index++) {
    const log = logs[index];
    await fleet.addVm(log === undefined ? {} : { log });
  }
  const vms = fleet.vms as [TestVm, TestVm];
  await waitUntil(() => vms.every(({ vm }) => vm.listEntries().length === 2));
  return { fleet, vms };
}

/** Begins a stream, and returns the replica that began it. */
async function startStream({ fleet, vms }: Taken): Promise<ReplicaStandIn> {
  const headers = { "x-request-id": "first" };
  const answer = await sendRequest(vms[0], { path: PATH, headers });
  expect(answer).toMatchObject({ status: 200, isWhole: false });
  return fleet.replicas.find(({ ran }) => ran.length === 1)!;
}

function takeUp(
  vm: TestVm,
  changes: Record<string, string> = {},
): Promise<TestAnswer> {
  const headers = { resumes: "first", "last-event-id": "2", ...changes };
  return sendRequest(vm, { path: PATH, headers });
}

async function waitListed({ vms }: Taken, change: () => void): Promise<void> {
  const before = Math.max(...vms.map(({ vm }) => vm.replicas.revision));
  change();
  await waitUntil(() => vms.every(({ vm }) => vm.replicas.revision > before));
  await sleep(LISTING_TIMEOUT_MS);
}

function countRuns({ fleet }: Taken): number {
  return fleet.replicas.reduce((sum, { ran }) => sum + ran.length, 0);
}

function checkNotRun(answer: TestAnswer): void {
  expect(answer.status).toBe(503);
  expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
}

describe("a stream that is taken up", () => {
  // Guards against a guess where nobody knows which version began a stream.
  it("is refused as not run if its origin is not known", async () => {
    const taken = await createFleet(["v1", "v2"]);
    checkNotRun(await takeUp(taken.vms[1], { resumes: "unknown" }));
    const headers = { "last-event-id": "2" };
    checkNotRun(await sendRequest(taken.vms[1], { path: PATH, headers }));
    expect(countRuns(taken)).toBe(0);
  });

  it("keeps its origin when it is taken up again and again", async () => {
    const taken = await createFleet(["v1", "v2", "v1", "v2"]);
    const first = await startStream(taken);
    const { version } = taken.vms[0].vm.replicas.find(toVmId(first))!;
    const others = taken.fleet.replicas.filter(({ id }) =>
      taken.vms[0].vm.replicas.find(toVmId({ id }))!.version !== version
    );
    for (let count = 0; count < 6; count++) {
      const answer = await takeUp(taken.vms[count % 2]!);
      expect(answer).toMatchObject({ status: 200, isWhole: true });
    }
    expect(others.map(({ ran }) => ran.length)).toEqual([0, 0]);
  });

  it("is logged with its version and the VM that knew it", async () => {
    const logs = [new FakeLog(), new FakeLog()];
    const taken = await createFleet(["v1"], logs);
    await startStream(taken);
    await takeUp(taken.vms[1]);
    const line = logs[1]!.lines.find(({ event }) =>
      event === "stream_taken_up"
    );
    expect(line!.fields).toMatchObject({
      resumes: "first",
      last_event_id: "2",
      version: "v1",
      known_by: taken.vms[1].settings.vm,
    });
  });

  it("is sent to no replica of its version that drains", async () => {
    const taken = await createFleet(["v1", "v2"]);
    const first = await startStream(taken);
    const version = getVersion(taken, first);
    await waitListed(
      taken,
      () => taken.fleet.listReplica(first, { version, state: "draining" }),
    );
    checkNotRun(await takeUp(taken.vms[1]));
    expect(countRuns(taken)).toBe(1);
  });

  // Guards against a replica that is taken for what it was: its entry names other
  // software under the same id.
  it("goes on at no replica that has other software now", async () => {
    const taken = await createFleet(["v1", "v1"]);
    const first = await startStream(taken);
    await waitListed(
      taken,
      () => taken.fleet.listReplica(first, { version: "v2" }),
    );
    for (let count = 0; count < 4; count++) {
      expect(await takeUp(taken.vms[1])).toMatchObject({ status: 200 });
    }
    expect(first.ran).toHaveLength(1);
  });

  it("goes on at a replica that got the version again", async () => {
    const taken = await createFleet(["v1"]);
    const first = await startStream(taken);
    await waitListed(taken, () => taken.fleet.store.remove("servers/i-0"));
    checkNotRun(await takeUp(taken.vms[1]));
    const version = "v1";
    await waitListed(taken, () => taken.fleet.listReplica(first, { version }));
    expect(await takeUp(taken.vms[1])).toMatchObject({ status: 200 });
  });

  it("goes on among replicas that publish no version", async () => {
    const taken = await createFleet([undefined, undefined, "v1"]);
    const first = await startStream(taken);
    const answer = await takeUp(taken.vms[1]);
    expect(answer).toMatchObject({ status: 200, isWhole: true });
    const isOther = getVersion(taken, first) !== undefined;
    expect(answer.body.includes("i-2")).toBe(isOther);
  });

  // Guards against a stream that goes on in another pool whose replicas happen to
  // have the same version.
  it("is refused if its route leads to another pool now", async () => {
    const taken = await createFleet(["v1"]);
    await startStream(taken);
    await taken.fleet.addReplica("i-other", "other", "v1");
    const routes = ROUTES.map((route) => ({ ...route, service: "other" }));
    taken.fleet.store.put("op/config", buildConfiguration(2, { routes }));
    await waitUntil(() =>
      taken.vms.every(({ vm }) => vm.getSnapshot()?.version === 2)
    );
    checkNotRun(await takeUp(taken.vms[1]));
    expect(countRuns(taken)).toBe(1);
  });
});

// Guards against a replica that restarts with other software between the choice
// and its answer: the stream's version is not known then.
it("a stream is not resumed if its replica's entry changed", async () => {
  const taken = await createFleet(["v1", "v1"]);
  for (const replica of taken.fleet.replicas) replica.mode = "slow";
  const headers = { "x-request-id": "first" };
  const answer = sendRequest(taken.vms[0], { path: "/restream/x", headers });
  await waitUntil(() => countRuns(taken) === 1);
  const [ran] = taken.fleet.replicas.filter((each) => each.ran.length === 1);
  await waitListed(
    taken,
    () => taken.fleet.listReplica(ran!, { version: "v2" }),
  );
  expect((await answer).isWhole).toBe(false);
  expect(countRuns(taken)).toBe(1);
});

function getVersion({ vms }: Taken, replica: { id: string }) {
  return vms[0].vm.replicas.find(toVmId(replica))!.version;
}

function toVmId({ id }: { id: string }): VmId {
  return toId<VmId>(id);
}
