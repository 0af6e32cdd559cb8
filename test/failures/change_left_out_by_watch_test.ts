import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import { PlatformFleet } from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import { sendFor } from "../platform/steady_calls.ts";
import { waitUntil } from "../support/loopback.ts";

/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;
const DEAF_MS = 1_000;
const SEND_MS = 1_500;
const VMS = 4;

/** VMs, and the replica to which they have sent most requests. */
async function createFleet() {
  const fleet = await PlatformFleet.create({ replicas: 3, vms: VMS });
  await waitUntil(() =>
    fleet.vms.every(({ vm }) => vm.listEntries().length === VMS)
  );
  await sendFor(fleet.vms, SEND_MS);
  const [leaving] = fleet.replicas
    .toSorted((one, other) => other.seen.length - one.seen.length);
  return { fleet, leaving: leaving! };
}

/** Expects that no request reaches the replica, which is draining. */
async function checkDrained(
  fleet: PlatformFleet,
  { id, seen }: ReplicaStandIn,
): Promise<void> {
  const before = seen.length;
  expect(before).toBeGreaterThan(0);
  const answers = await sendFor(fleet.vms, SEND_MS);
  expect(seen.length - before).toBe(0);
  expect(answers.map(({ status }) => status)).toEqual(answers.map(() => 200));
  for (const { vm } of fleet.vms) {
    expect(vm.replicas.isReady(toId(id))).toBe(false);
  }
}

// Guards against a fleet that uses a draining replica for good, because watches
// of the store ended at the store's revision without the change that drains it.
it("a watch that claims to be up to date loses no change", async () => {
  const { fleet, leaving } = await createFleet();
  fleet.store.startDeafness("newest_revision");
  fleet.listReplica(leaving, { state: "draining" });
  await sleep(DEAF_MS);
  fleet.store.endDeafness();
  await sleep(DRAIN_MS - DEAF_MS);
  await checkDrained(fleet, leaving);
}, 15_000);

// Guards against a fleet that uses a draining replica for good, because watches
// of the store told the next change and not the one that drains it.
it("a change that no watch tells is found", async () => {
  const { fleet, leaving } = await createFleet();
  fleet.store.tellsChanges = false;
  fleet.listReplica(leaving, { state: "draining" });
  fleet.store.tellsChanges = true;
  fleet.store.put("other/key", {});
  await sleep(DRAIN_MS);
  await checkDrained(fleet, leaving);
}, 15_000);
