import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration, ROUTES } from "../platform/configurations.ts";
import {
  PlatformFleet,
  sendRequest,
  type TestVm,
} from "../platform/platform_fleet.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { TestAnswer } from "../platform/test_call.ts";

const PATHS = ["/safe/x", "/unsafe/x", "/stream/x", "/restream/x"];
const REQUESTS_PER_PATH = 6;
const ROUTE_MS = 8_000;
/** A leaving replica may still receive requests for this long. */
const DRAIN_MS = 2_000;
const SENT_AFTER_MS = 200;

interface Leaving {
  fleet: PlatformFleet;
  vm: TestVm;
  log: FakeLog;
  leaving: ReplicaStandIn;
}

async function createFleet(): Promise<Leaving> {
  const log = new FakeLog();
  const fleet = await PlatformFleet.create({ replicas: 2, vms: 0 });
  const routes = ROUTES.map((route) => ({ ...route, timeoutMs: ROUTE_MS }));
  fleet.store.put("op/config", buildConfiguration(2, { routes }));
  const vm = await fleet.addVm({ log });
  return { fleet, vm, log, leaving: fleet.replicas[0]! };
}

/** Lets the replica leave, by its entry or without it. */
function startLeaving({ fleet, leaving }: Leaving, how: string): void {
  if (how === "gone") fleet.store.remove(`servers/${leaving.id}`);
  else fleet.listReplica(leaving, { state: "draining" });
}

function sendAll({ vm }: Leaving): Promise<TestAnswer>[] {
  const paths = PATHS.flatMap((path) =>
    new Array<string>(REQUESTS_PER_PATH).fill(path)
  );
  return paths.map((path) => sendRequest(vm, { path, timeoutMs: ROUTE_MS }));
}

function countEvents({ log }: Leaving, name: string): number {
  return log.lines.filter(({ event }) => event === name).length;
}

describe.each(["draining", "gone"])("a replica that is %s", (how) => {
  // Guards against a request that was written in time and is read by a replica
  // long after its leaving, when its link or process goes on.
  it("reads no request late that it had not got before", async () => {
    const scene = await createFleet();
    const { vm, leaving } = scene;
    vm.links.cut("held", [leaving.port]);
    const answers = sendAll(scene);
    await sleep(SENT_AFTER_MS);
    startLeaving(scene, how);
    await waitUntil(() => !vm.vm.replicas.isReady(toId(leaving.id)));
    expect(countEvents(scene, "unanswered_at_leaving")).toBeGreaterThan(0);
    await sleep(DRAIN_MS);
    vm.links.heal();
    const results = await Promise.all(answers);
    expect(leaving.seen).toHaveLength(0);
    const statuses = new Set(results.map(({ status }) => status));
    expect([...statuses].sort()).toEqual([200, 502]);
    // What may be repeated is answered by the other replica.
    PATHS.forEach((path, index) => {
      if (path === "/unsafe/x" || path === "/stream/x") return;
      const first = index * REQUESTS_PER_PATH;
      const answered = results.slice(first, first + REQUESTS_PER_PATH);
      expect(answered.map(({ status, isWhole }) => [status, isWhole]))
        .toEqual(answered.map(() => [200, true]));
    });
  });

  // Guards against a request that is taken from a replica which works on it.
  it("keeps the requests that it has read", async () => {
    const scene = await createFleet();
    const { fleet, vm, leaving } = scene;
    for (const replica of fleet.replicas) replica.mode = "slow";
    const answers = sendAll(scene).slice(REQUESTS_PER_PATH, -REQUESTS_PER_PATH);
    await waitUntil(() => leaving.ran.length > 0);
    startLeaving(scene, how);
    await waitUntil(() => !vm.vm.replicas.isReady(toId(leaving.id)));
    for (const { status, isWhole } of await Promise.all(answers)) {
      expect([status, isWhole]).toEqual([200, true]);
    }
    expect(countEvents(scene, "answered_after_leaving")).toBeGreaterThan(0);
  });
});
