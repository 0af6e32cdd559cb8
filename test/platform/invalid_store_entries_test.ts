import { describe, expect, it } from "vitest";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const VALID = {
  service: "pool",
  address: "127.0.0.1:9",
  zone: "dc-1",
  slots: 4,
  state: "ready",
};

const INVALID: [string, unknown][] = [
  ["without an address", { ...VALID, address: undefined }],
  ["with an invalid address", { ...VALID, address: "somewhere" }],
  ["with an invalid port", { ...VALID, address: "127.0.0.1:70000" }],
  ["with slots of the wrong type", { ...VALID, slots: "four" }],
  ["with zero slots", { ...VALID, slots: 0 }],
  ["in an unknown state", { ...VALID, state: "resting" }],
  ["that is a list", [VALID]],
  ["that is null", null],
];

function listIds({ vm }: TestVm): string[] {
  return vm.replicas.getList().replicas.map(({ id }) => id).sort();
}

async function waitRevision({ vm }: TestVm, above: number): Promise<void> {
  await waitUntil(() => vm.replicas.revision > above);
}

// Guards against requests to addresses without a replica and against a replica
// list that is no longer updated. Another writer adds an invalid entry or
// overwrites a replica's entry: the invalid field must not be used, the previous
// entry must not be kept, and the rest of the update must still be applied.
describe("an invalid replica entry", () => {
  for (const [defect, value] of INVALID) {
    it(`${defect} is ignored, and other replicas are kept`, async () => {
      const fleet = await PlatformFleet.create();
      const [first] = fleet.vms;
      const before = first!.vm.replicas.revision;
      fleet.store.put("servers/i-1", value);
      fleet.store.put("servers/i-other", value);
      await waitRevision(first!, before);
      await waitUntil(() => listIds(first!).join() === "i-2");
      const answer = await sendRequest(first!, { path: "/safe/x" });
      expect(answer.status).toBe(200);
      expect(fleet.replicas[1]!.ran).toHaveLength(1);
    });
  }

  // Guards against requests that fail as if they may have run, because no header
  // can name their replica.
  for (const id of ["i-\u20ac", "i-\n2", " i-2", ""]) {
    it(`with the id ${JSON.stringify(id)} is ignored and logged`, async () => {
      const fleet = await PlatformFleet.create({ vms: 0 });
      const log = new FakeLog();
      const vm = await fleet.addVm({ log });
      const before = vm.vm.replicas.revision;
      fleet.listReplica({ id, port: fleet.replicas[0]!.port });
      await waitRevision(vm, before);
      fleet.listReplica({ id, port: fleet.replicas[0]!.port });
      await waitRevision(vm, before + 1);
      expect(listIds(vm)).toEqual(["i-1", "i-2"]);
      for (let count = 0; count < 4; count++) {
        const answer = await sendRequest(vm, { path: "/unsafe/x" });
        expect(answer.status).toBe(200);
      }
      const lines = log.lines.filter(({ event }) => event === "item_rejected");
      expect(lines).toHaveLength(1);
    });
  }

  // Guards against removing a listed replica. The store holds an invalid
  // configuration, and the id of a replica equals the end of the configuration's
  // key; the key must not be taken for a replica's without a check of its
  // prefix.
  it("under another prefix removes no replica", async () => {
    const fleet = await PlatformFleet.create({ replicas: 1 });
    const [first] = fleet.vms;
    await fleet.addReplica("g");
    await waitUntil(() => listIds(first!).join() === "g,i-1");
    const before = first!.vm.replicas.revision;
    fleet.store.put("op/config", { version: "none" });
    await waitRevision(first!, before);
    expect(listIds(first!)).toEqual(["g", "i-1"]);
  });

  it("with undecodable bytes is logged once", async () => {
    const fleet = await PlatformFleet.create({ vms: 0 });
    const log = new FakeLog();
    const vm = await fleet.addVm({ log });
    for (const base64 of ["%%%", "AAECAw=="]) {
      const before = vm.vm.replicas.revision;
      fleet.store.putBase64("servers/i-2", base64);
      await waitRevision(vm, before);
    }
    expect(listIds(vm)).toEqual(["i-1"]);
    const lines = log.lines.filter(({ event }) => event === "item_rejected");
    expect(lines).toHaveLength(1);
  });

  it("is not forwarded to VMs that cannot read the store", async () => {
    const fleet = await PlatformFleet.create();
    const isolated = await fleet.addVm({ store: 1 });
    fleet.store.put("servers/i-1", { ...VALID, state: "resting" });
    await waitUntil(() => listIds(isolated).join() === "i-2");
    const answer = await sendRequest(isolated, { path: "/safe/x" });
    expect(answer.status).toBe(200);
  });

  it("is replaced once its replica writes a valid one", async () => {
    const fleet = await PlatformFleet.create();
    const [first] = fleet.vms;
    fleet.store.put("servers/i-1", null);
    await waitUntil(() => listIds(first!).join() === "i-2");
    fleet.listReplica(fleet.replicas[0]!);
    await waitUntil(() => listIds(first!).join() === "i-1,i-2");
  });
});
