import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { SeededRandom } from "../../src/process/random.ts";
import { PlatformFleet } from "../platform/platform_fleet.ts";
import { waitUntil } from "../support/loopback.ts";

const SEED = Number(process.env["READS_SEED"] ?? 1);
const VMS = 5;
const REPLICAS = 6;
const CHANGE_MS = 6_000;
const MAX_GAP_MS = 40;
/** A change is known to all VMs within this time. */
const KNOWN_MS = 2_000;
const PREFIX = "servers/";

/** Changes an entry, or makes VMs read everything. */
function applyChange(fleet: PlatformFleet, random: SeededRandom): void {
  const replica = random.pick(fleet.replicas)!;
  const key = `servers/${replica.id}`;
  switch (random.nextInt(6)) {
    case 0:
      fleet.store.remove(key);
      break;
    case 1:
      fleet.store.dropHistory();
      break;
    case 2:
      fleet.store.put("other/key", {});
      break;
    case 3:
      fleet.listReplica(replica, { state: "draining" });
      break;
    default:
      fleet.listReplica(replica);
  }
}

/** The state of each replica in the store. */
function readStates({ store }: PlatformFleet): Map<string, string> {
  const entries = [...store.takeCopy().items.values()]
    .filter(({ key }) => key.startsWith(PREFIX));
  return new Map(entries.map(({ key, value = "" }) => {
    const text = Buffer.from(value, "base64").toString();
    return [key.slice(PREFIX.length), JSON.parse(text).state];
  }));
}

// Guards against VMs that keep different lists for good, since each read pages of
// the store while entries changed.
it("VMs whose reads are overtaken by changes end with one list", async () => {
  const random = SeededRandom.create(SEED);
  const fleet = await PlatformFleet.create({ replicas: REPLICAS, vms: VMS });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  fleet.store.pageItems = 2;
  fleet.store.onPage = () => applyChange(fleet, random);
  const until = performance.now() + CHANGE_MS;
  while (performance.now() < until) {
    applyChange(fleet, random);
    await sleep(random.nextInt(MAX_GAP_MS));
  }
  fleet.store.onPage = () => {};
  await sleep(KNOWN_MS);
  const states = readStates(fleet);
  for (const { vm } of fleet.vms) {
    const { replicas } = vm.replicas.getList();
    expect(new Map(replicas.map(({ id, state }) => [id, state]))).toEqual(
      states,
    );
  }
}, 30_000);
