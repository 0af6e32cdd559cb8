import { setTimeout as sleep } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { FakeLog } from "../support/request_fakes.ts";
import { waitUntil } from "../support/loopback.ts";
import { buildConfiguration, ROUTES } from "./configurations.ts";
import { toId } from "../../src/ids.ts";
import { PlatformFleet, sendRequest } from "./platform_fleet.ts";
import type { ReplicaStandIn } from "./replica_stand_in.ts";
import type { TestAnswer } from "./test_call.ts";

const REQUESTS = 8;
const ROUTE_MS = 8_000;
const CALL_MS = 2_000;
const SILENT_MS = 1_300;
const EVENT_GAP_MS = 100;
const RUNNING_AFTER_MS = 150;
/** Callers leave a stream that is silent for this long. */
const CALLER_PATIENCE_MS = 2_000;
/** A replica that reads a stream in again may take so long. */
const PREEMPTED_MS = 1_800;
/** Time for a replica that is dark to be found out. */
const DARK_MS = 1_400;

async function createFleet(replicas = 2) {
  const log = new FakeLog();
  const fleet = await PlatformFleet.create({ replicas, vms: 0 });
  const routes = ROUTES.map((route) => ({ ...route, timeoutMs: ROUTE_MS }));
  fleet.store.put("op/config", buildConfiguration(2, { routes }));
  const vm = await fleet.addVm({ log });
  for (const replica of fleet.replicas) replica.eventGapMs = EVENT_GAP_MS;
  return { fleet, vm, log };
}

// Guards against a sound replica that says nothing for a second and is taken for
// dead: its streams and calls are cut off and run again elsewhere.
describe("a replica that falls silent and goes on", () => {
  for (const path of ["/restream/x", "/stream/x", "/safe/x", "/unsafe/x"]) {
    it(`keeps its requests on ${path}`, async () => {
      const { fleet, vm, log } = await createFleet();
      const [silent] = fleet.replicas;
      const isCall = !path.includes("stream");
      if (isCall) silent!.startSilence(SILENT_MS);
      const answers = Array.from(
        { length: REQUESTS },
        () =>
          sendRequest(vm, {
            path,
            timeoutMs: isCall ? CALL_MS : ROUTE_MS,
            clientTimeoutMs: CALLER_PATIENCE_MS,
          }),
      );
      await sleep(RUNNING_AFTER_MS);
      if (!isCall) silent!.startSilence(SILENT_MS);
      for (const { status, isWhole } of await Promise.all(answers)) {
        expect([status, isWhole]).toEqual([200, true]);
      }
      const runs = fleet.replicas.map(({ ran }) => ran.length);
      expect(runs[0]).toBeGreaterThan(0);
      expect(runs[0]! + runs[1]!).toBe(REQUESTS);
      const events = log.lines.map(({ event }) => event);
      expect(events).not.toContain("replica_ejected");
    });
  }
});

// Guards against waiting as long for a replica that is not there at all.
it("a stream at a replica that is dark is resumed in time", async () => {
  const { fleet, vm } = await createFleet();
  const answers = Array.from(
    { length: REQUESTS },
    () =>
      sendRequest(vm, {
        path: "/restream/x",
        timeoutMs: ROUTE_MS,
        clientTimeoutMs: CALLER_PATIENCE_MS,
      }),
  );
  await sleep(RUNNING_AFTER_MS);
  vm.links.cut("silent", [fleet.replicas[0]!.port]);
  const cutAt = performance.now();
  await waitUntil(() =>
    fleet.replicas[1]!.ran.some(({ headers }) =>
      headers["last-event-id"] !== undefined
    )
  );
  expect(performance.now() - cutAt).toBeLessThan(DARK_MS);
  for (const { status, isWhole } of await Promise.all(answers)) {
    expect([status, isWhole]).toEqual([200, true]);
  }
});

/** Starts a stream at the only replica; another one, which is full, comes. */
async function startBesideFull(
  changes: Partial<ReplicaStandIn>,
): Promise<{ fleet: PlatformFleet; answer: Promise<TestAnswer> }> {
  const { fleet, vm } = await createFleet(1);
  Object.assign(fleet.replicas[0]!, changes);
  const answer = sendRequest(vm, {
    path: "/restream/x",
    timeoutMs: ROUTE_MS,
    clientTimeoutMs: CALLER_PATIENCE_MS,
  });
  await waitUntil(() => fleet.replicas[0]!.ran.length > 0);
  const full = await fleet.addReplica("i-full");
  full.mode = "shed";
  await waitUntil(() => vm.vm.replicas.listReady(toId("pool")).length === 2);
  return { fleet, answer };
}

// Guards against a stream that is taken from the replica which preempted it, and
// cut, because the next one is full.
it("a preempted stream stays with its replica", async () => {
  const { fleet, answer } = await startBesideFull({
    mode: "pause",
    pauseMs: PREEMPTED_MS,
  });
  expect(await answer).toMatchObject({ status: 200, isWhole: true });
  expect(fleet.replicas.map(({ ran }) => ran.length)).toEqual([1, 0]);
});

// Guards against a stream that is cut since its replica, which is gone from the
// list and serves on for some seconds, has no address to be asked at.
it("a preempted stream stays with a replica that has left", async () => {
  const { fleet, answer } = await startBesideFull({
    mode: "pause",
    pauseMs: PREEMPTED_MS,
  });
  fleet.store.remove(`servers/${fleet.replicas[0]!.id}`);
  expect(await answer).toMatchObject({ status: 200, isWhole: true });
  expect(fleet.replicas.map(({ ran }) => ran.length)).toEqual([1, 0]);
});

// Guards against a stream that stays with a replica which accepts connections
// and does nothing else.
it("a stream at a replica that hangs is sent elsewhere in time", async () => {
  const { fleet, answer } = await startBesideFull({ events: 30 });
  await sleep(RUNNING_AFTER_MS);
  fleet.replicas[0]!.startSilence(ROUTE_MS);
  const startedAt = performance.now();
  await waitUntil(() => fleet.replicas[1]!.refusals.length > 0);
  expect(performance.now() - startedAt).toBeLessThan(CALLER_PATIENCE_MS);
  await answer;
});
