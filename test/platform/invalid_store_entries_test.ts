import { describe, expect, it } from "vitest";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, sendRequest, type TestVm } from "./platform_fleet.ts";

const GOOD = {
  service: "pool",
  address: "127.0.0.1:9",
  zone: "dc-1",
  slots: 4,
  state: "ready",
};

const FOREIGN: [string, unknown][] = [
  ["without an address", { ...GOOD, address: undefined }],
  ["with an address that is none", { ...GOOD, address: "somewhere" }],
  ["with a port that is none", { ...GOOD, address: "127.0.0.1:70000" }],
  ["with slots of another type", { ...GOOD, slots: "four" }],
  ["without slots to run in", { ...GOOD, slots: 0 }],
  ["in a state that nobody names", { ...GOOD, state: "resting" }],
  ["that is a list", [GOOD]],
  ["that is null", null],
];

function listIds({ vm }: TestVm): string[] {
  return vm.replicas.getList().replicas.map(({ id }) => id).sort();
}

async function waitRevision({ vm }: TestVm, above: number): Promise<void> {
  await waitUntil(() => vm.replicas.revision > above);
}

// Symptom: requests go to an address where no replica is, or no list of
// replicas is read any more.
// Sequence: something else writes an entry beside the replicas' own, or over
// one of them.
// Cause: a faulty field was taken for a value, the entry of before was kept, or
// the fault refused all that came with it.
describe("an entry of another writer", () => {
  for (const [what, value] of FOREIGN) {
    it(`${what} names no replica, and the others hold`, async () => {
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

  // Symptom: a replica is gone from the list though its entry stands.
  // Sequence: a configuration that cannot be read comes beside a replica whose
  // id is the end of the configuration's key.
  // Cause: the key was cut to an id without a look at its beginning.
  it("that is no replica's takes no replica out", async () => {
    const fleet = await PlatformFleet.create({ replicas: 1 });
    const [first] = fleet.vms;
    await fleet.addReplica("g");
    await waitUntil(() => listIds(first!).join() === "g,i-1");
    const before = first!.vm.replicas.revision;
    fleet.store.put("op/config", { version: "none" });
    await waitRevision(first!, before);
    expect(listIds(first!)).toEqual(["g", "i-1"]);
  });

  it("of bytes that cannot be read is logged once", async () => {
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

  it("is passed on by no VM to those that cannot read the store", async () => {
    const fleet = await PlatformFleet.create();
    const cutOff = await fleet.addVm({ store: 1 });
    fleet.store.put("servers/i-1", { ...GOOD, state: "resting" });
    await waitUntil(() => listIds(cutOff).join() === "i-2");
    const answer = await sendRequest(cutOff, { path: "/safe/x" });
    expect(answer.status).toBe(200);
  });

  it("that its replica writes over names it again", async () => {
    const fleet = await PlatformFleet.create();
    const [first] = fleet.vms;
    fleet.store.put("servers/i-1", null);
    await waitUntil(() => listIds(first!).join() === "i-2");
    fleet.listReplica(fleet.replicas[0]!);
    await waitUntil(() => listIds(first!).join() === "i-1,i-2");
  });
});
