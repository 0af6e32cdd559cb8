import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration } from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const REQUESTS = 8;

/** Two replicas in one data centre, one in another. */
async function createFleet(): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 3 });
  fleet.listReplica(fleet.replicas[2]!, { zone: "dc-2" });
  return fleet;
}

function listReady({ vm }: TestVm): string[] {
  const { replicas } = vm.replicas.getList();
  return replicas.filter(({ id }) => vm.replicas.isReady(id))
    .map(({ id }) => id as string);
}

async function sendAll(vm: TestVm): Promise<number[]> {
  const answers = await Promise.all(
    Array.from(
      { length: REQUESTS },
      () => sendRequest(vm, { path: "/safe/x" }),
    ),
  );
  return answers.map(({ status }) => status);
}

// Symptom: requests reach the replicas of a data centre five seconds and more
// after its evacuation was acknowledged.
// Sequence: the operator writes the order beside the configuration; VMs go on
// sending to replicas whose own entries still say that they are ready.
// Cause: the order was not read.
describe("an evacuated data centre", () => {
  it("gets nothing new, and all again when the order is taken back", async () => {
    const fleet = await createFleet();
    const [first] = fleet.vms as [TestVm];
    await waitUntil(() => listReady(first).length === 3);
    fleet.store.put("op/evacuate/dc-1", {});
    await waitUntil(() => listReady(first).join() === "i-3");
    expect(await first.vm.metrics.renderPrometheus())
      .toMatch(/evacuated_data_centres 1$/m);
    const before = fleet.replicas.map(({ ran }) => ran.length);
    expect(await sendAll(first)).toEqual(Array(REQUESTS).fill(200));
    const after = fleet.replicas.map(({ ran }) => ran.length);
    expect(after.slice(0, 2)).toEqual(before.slice(0, 2));
    fleet.store.remove("op/evacuate/dc-1");
    await waitUntil(() => listReady(first).length === 3);
  });

  it("is told by VMs to one that cannot read the store", async () => {
    const fleet = await createFleet();
    const cutOff = await fleet.addVm({ store: 1 });
    fleet.store.put("op/evacuate/dc-1", {});
    await waitUntil(() => listReady(cutOff).join() === "i-3");
  });

  it("is known to a VM that starts, and after the store's history is lost", async () => {
    const fleet = await createFleet();
    const [first] = fleet.vms as [TestVm];
    fleet.store.put("op/evacuate/dc-1", {});
    await waitUntil(() => listReady(first).join() === "i-3");
    fleet.store.dropHistory();
    fleet.store.put("op/evacuate/dc-2", {});
    await waitUntil(() => listReady(first).length === 0);
    const late = await fleet.addVm();
    expect(listReady(late)).toEqual([]);
  });

  it("leaves requests that find no replica refused as not run", async () => {
    const fleet = await PlatformFleet.create({ replicas: 1 });
    const [first] = fleet.vms as [TestVm];
    fleet.store.put("op/evacuate/dc-1", {});
    await waitUntil(() => listReady(first).length === 0);
    const answer = await sendRequest(first, { path: "/unsafe/x" });
    expect(answer.status).toBe(503);
    expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
    expect(fleet.replicas[0]!.seen).toHaveLength(0);
  });
});

// Symptom: a replica that has just started falls over.
// Sequence: its entry says that it is cold; a hundred requests come in a
// second, and it is the only one that looks empty.
// Cause: what the entry and the service say of cold replicas was not read.
describe("a replica whose entry says that it is cold", () => {
  it("gets few requests while others are warm", async () => {
    const fleet = await PlatformFleet.create({ replicas: 2 });
    const [first] = fleet.vms as [TestVm];
    const [cold, warm] = fleet.replicas;
    const pool = { "cold-start-s": 3, "cold-per-s": 1 };
    fleet.store.put("op/config", buildConfiguration(2, { pool }));
    await waitUntil(() => first.vm.getSnapshot()?.version === 2);
    fleet.listReplica(cold!, { coldMs: 60_000 });
    await waitUntil(() =>
      first.vm.replicas.getList().replicas.some(({ warmUp }) =>
        warmUp !== undefined
      )
    );
    for (let round = 0; round < 5; round++) await sendAll(first);
    expect(cold!.ran.length).toBeLessThanOrEqual(2);
    expect(warm!.ran.length).toBeGreaterThan(30);
  });
});
