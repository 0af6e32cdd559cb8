import { expect, it } from "vitest";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";
import { type RequestId, toId } from "../../src/ids.ts";
import { waitUntil } from "../support/loopback.ts";

const GRACE_MS = 1_500;
/** Slots of the two replicas. */
const SLOTS = 8;
/** Waits longer than the grace period. */
const WAITING_ID = { "x-request-id": "waiting" };
const CALL = { path: "/safe/x", timeoutMs: 10_000 };

// Guards against a drain that ends by closing the connections of requests which
// got no answer yet, so that their callers can't tell whether they ran.
it("a drain that ends refuses what has no answer yet", async () => {
  const fleet = await PlatformFleet.create({ vms: 0 });
  for (const replica of fleet.replicas) replica.mode = "hang";
  const vm = await fleet.addVm({
    drainGraceMs: GRACE_MS,
    maxWaitingRequests: 10,
  });
  const sent = Array.from({ length: SLOTS }, () => sendRequest(vm, CALL));
  const countRan = () => fleet.replicas.flatMap(({ ran }) => ran).length;
  await waitUntil(() => countRan() === SLOTS);
  const waiting = sendRequest(vm, { ...CALL, headers: WAITING_ID });
  const id = toId<RequestId>(WAITING_ID["x-request-id"]);
  await waitUntil(() => vm.vm.requestStatuses.find(id) !== undefined);
  const signalledAt = performance.now();
  await vm.vm.drain();
  expect(performance.now() - signalledAt).toBeLessThan(GRACE_MS);
  for (const answer of await Promise.all(sent)) {
    expect(answer).toMatchObject({ status: 502, isWhole: true });
  }
  const refused = await waiting;
  expect(refused).toMatchObject({ status: 503, isWhole: true });
  expect(refused.headers).toMatchObject({ connection: "close" });
  expect(Number(refused.headers["retry-after"])).toBeGreaterThan(0);
  expect(countRan()).toBe(SLOTS);
}, 15_000);
