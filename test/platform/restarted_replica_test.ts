import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { sendCall } from "./test_call.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const PROMPT = {
  "x-model": "m",
  "x-token-count": "900,10",
  "x-prompt-prefix": "aa:500,bb:400",
};

/** Fetches the replicas at which a VM considers prompt parts cached. */
async function fetchReplicasWithCache({ settings }: TestVm): Promise<string[]> {
  const { state } = settings.listeners;
  const answer = await sendCall(state, { path: "/v1/prefixes", method: "GET" });
  const entries = JSON.parse(answer.body) as [string, string[], number][];
  return entries.filter(([, parts]) => parts.length > 0).map(([id]) => id);
}

/** Waits until a VM considers parts cached at `count` replicas. */
async function waitReplicasWithCache(vm: TestVm, count: number): Promise<void> {
  while ((await fetchReplicasWithCache(vm)).length !== count) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

async function createFleetWithCache(
  vms: number,
  options: { isLastIsolated?: boolean } = {},
): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 1, vms });
  if (options.isLastIsolated) await fleet.addVm({ store: 1 });
  fleet.listReplica(fleet.replicas[0]!, { born: 1_000 });
  for (const { vm } of fleet.vms) {
    await waitUntil(() =>
      vm.replicas.getList().replicas[0]?.startedAt === 1_000
    );
  }
  const [first] = fleet.vms;
  await sendRequest(first!, { path: "/stream/x", headers: PROMPT });
  for (const vm of fleet.vms) {
    await waitReplicasWithCache(vm, 1);
  }
  return fleet;
}

// Guards against placing prompts by a cache that is lost. A replica crashes and
// restarts under the same id before its entry expires; if its cached parts are
// kept, prompts are prefilled again there while other replicas have them cached.
describe("a replica that restarts under the same id", () => {
  it("is considered to have an empty cache by all VMs", async () => {
    const fleet = await createFleetWithCache(2);
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    for (const vm of fleet.vms) {
      await waitReplicasWithCache(vm, 0);
    }
  });

  it("is reported by VMs to a VM that cannot read the store", async () => {
    const fleet = await createFleetWithCache(1, { isLastIsolated: true });
    const isolated = fleet.vms.at(-1)!;
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    await waitReplicasWithCache(isolated, 0);
  });

  for (const born of ["2000", 2_000.5, true, undefined]) {
    it(`is not detected by the start time ${JSON.stringify(born)}`, async () => {
      const fleet = await createFleetWithCache(1);
      const [first] = fleet.vms;
      const before = first!.vm.replicas.revision;
      fleet.listReplica(fleet.replicas[0]!, { born });
      await waitUntil(() => first!.vm.replicas.revision > before);
      expect(await fetchReplicasWithCache(first!)).toHaveLength(1);
      expect(first!.vm.replicas.getList().replicas[0]?.startedAt).toBe(1_000);
    });
  }

  it("serves requests", async () => {
    const fleet = await createFleetWithCache(1);
    const [first] = fleet.vms;
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    await waitUntil(() =>
      first!.vm.replicas.getList().replicas[0]?.startedAt === 2_000
    );
    const answer = await sendRequest(first!, { path: "/safe/x" });
    expect(answer.status).toBe(200);
  });
});
