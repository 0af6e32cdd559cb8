import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration } from "./configurations.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const REQUESTS = 8;

/** Creates a fleet with two replicas in dc-1 and one in dc-2. */
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

// Guards against requests that still reach the replicas of a data centre more
// than five seconds after its evacuation was acknowledged. The operator writes
// the evacuation to a separate key, while the replicas' own entries still say
// that they are ready.
describe("an evacuated data centre", () => {
  it("gets no new requests until the evacuation is withdrawn", async () => {
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

  it("is reported by VMs to a VM that cannot read the store", async () => {
    const fleet = await createFleet();
    const isolated = await fleet.addVm({ store: 1 });
    fleet.store.put("op/evacuate/dc-1", {});
    await waitUntil(() => listReady(isolated).join() === "i-3");
  });

  it("is known to a starting VM and after the store loses its history", async () => {
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

  it("causes requests without any other replica to be refused as not run", async () => {
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

// Guards against overloading a replica that has just started. It is the only one
// that looks idle, so that a burst of a hundred requests per second would all go
// to it unless the warm-up in its entry and its service's limit are applied.
describe("a replica that its entry marks as cold", () => {
  it("gets few requests while other replicas are warm", async () => {
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
