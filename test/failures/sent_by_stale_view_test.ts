import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";
import { waitUntil } from "../support/loopback.ts";

/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;
/** Age of the view, still fresh, at which the request arrives. */
const VIEW_AGE_MS = 1_550;
/** Time for which the process is held while it opens the connection. */
const STALL_MS = 800;
const HEALED_AFTER_MS = 2_400;
const TIMEOUT_MS = 8_000;
const PATHS = ["/safe/x", "/unsafe/x", "/restream/x"];

function holdProcess(ms: number): void {
  const until = performance.now() + ms;
  while (performance.now() < until);
}

/** A VM whose only replica leaves while the store holds its answers. */
async function createFleet() {
  const fleet = await PlatformFleet.create({ replicas: 1 });
  const [leaving] = fleet.replicas;
  const [vm] = fleet.vms;
  const other = await fleet.addReplica("i-2");
  fleet.store.remove("servers/i-2");
  await waitUntil(() => vm!.vm.replicas.find(toId("i-2")) === undefined);
  fleet.store.mode = "held";
  const leftAt = performance.now();
  fleet.store.remove(`servers/${leaving!.id}`);
  fleet.listReplica(other);
  return { fleet, leaving: leaving!, other, vm: vm!, leftAt };
}

// Guards against a request whose view was fresh when it was placed and is stale
// when its first byte is written, to a replica that has left meanwhile.
it("no request is sent by a view that became stale", async () => {
  for (const path of PATHS) {
    const { fleet, leaving, other, vm, leftAt } = await createFleet();
    let opened = 0;
    vm.links.onOpen = () => {
      opened += 1;
      if (opened === 1) holdProcess(STALL_MS);
    };
    await sleep(VIEW_AGE_MS);
    const answered = sendRequest(vm, { path, timeoutMs: TIMEOUT_MS });
    await sleep(HEALED_AFTER_MS - (performance.now() - leftAt));
    fleet.store.mode = "up";
    expect(await answered).toMatchObject({ status: 200 });
    const late = leaving.seenAt.filter((at) => at > leftAt + DRAIN_MS);
    expect(late.map((at) => Math.round(at - leftAt))).toEqual([]);
    expect(opened).toBeGreaterThan(0);
    expect(other.ran).toHaveLength(1);
  }
}, 30_000);
