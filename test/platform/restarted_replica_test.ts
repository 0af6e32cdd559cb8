import { describe, expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { sendCall } from "./test_call.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const PROMPT = {
  "x-model": "m",
  "x-token-count": "900,10",
  "x-prompt-prefix": "aa:500,bb:400",
};

/** Parts that a VM believes cached, by replica. */
async function fetchBeliefs({ settings }: TestVm): Promise<string[]> {
  const { state } = settings.listeners;
  const answer = await sendCall(state, { path: "/v1/prefixes", method: "GET" });
  const entries = JSON.parse(answer.body) as [string, string[], number][];
  return entries.filter(([, parts]) => parts.length > 0).map(([id]) => id);
}

/** Resolves when the VM believes parts cached at so many replicas. */
async function waitBeliefs(vm: TestVm, count: number): Promise<void> {
  while ((await fetchBeliefs(vm)).length !== count) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

async function createFleetWithBelief(
  vms: number,
  options: { isLastCutOff?: boolean } = {},
): Promise<PlatformFleet> {
  const fleet = await PlatformFleet.create({ replicas: 1, vms });
  if (options.isLastCutOff) await fleet.addVm({ store: 1 });
  fleet.listReplica(fleet.replicas[0]!, { born: 1_000 });
  for (const { vm } of fleet.vms) {
    await waitUntil(() =>
      vm.replicas.getList().replicas[0]?.startedAt === 1_000
    );
  }
  const [first] = fleet.vms;
  await sendRequest(first!, { path: "/stream/x", headers: PROMPT });
  for (const vm of fleet.vms) {
    await waitBeliefs(vm, 1);
  }
  return fleet;
}

// Symptom: prompts go to a replica for parts that it has lost, and are read
// again there while others hold them.
// Sequence: a replica crashes and starts again under the same id before its
// entry lapses.
// Cause: what was known of the id was taken for what is true of the process.
describe("a replica that starts again under its id", () => {
  it("holds nothing of before, for all VMs", async () => {
    const fleet = await createFleetWithBelief(2);
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    for (const vm of fleet.vms) {
      await waitBeliefs(vm, 0);
    }
  });

  it("is told by VMs to one that cannot read the store", async () => {
    const fleet = await createFleetWithBelief(1, { isLastCutOff: true });
    const cutOff = fleet.vms.at(-1)!;
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    await waitBeliefs(cutOff, 0);
  });

  for (const born of ["2000", 2_000.5, true, undefined]) {
    it(`is not seen in ${JSON.stringify(born)}`, async () => {
      const fleet = await createFleetWithBelief(1);
      const [first] = fleet.vms;
      const before = first!.vm.replicas.revision;
      fleet.listReplica(fleet.replicas[0]!, { born });
      await waitUntil(() => first!.vm.replicas.revision > before);
      expect(await fetchBeliefs(first!)).toHaveLength(1);
      expect(first!.vm.replicas.getList().replicas[0]?.startedAt).toBe(1_000);
    });
  }

  it("serves, and takes no calls on connections of before", async () => {
    const fleet = await createFleetWithBelief(1);
    const [first] = fleet.vms;
    fleet.listReplica(fleet.replicas[0]!, { born: 2_000 });
    await waitUntil(() =>
      first!.vm.replicas.getList().replicas[0]?.startedAt === 2_000
    );
    const answer = await sendRequest(first!, { path: "/safe/x" });
    expect(answer.status).toBe(200);
  });
});
