import { setTimeout as sleep } from "node:timers/promises";
import { expect, it } from "vitest";
import { waitUntil } from "../support/loopback.ts";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";

const GRACE_MS = 2_000;
const EVENTS = 150;
const EVENT_GAP_MS = 20;
/** Callers may still use the VM's address for so long, and a little longer. */
const LATE_MS = 450;
const LATER_MS = 900;
/** Within three times the directory's time to live. */
const ADDRESS_AGE_MS = 250;
const LONG_MS = 10_000;
const SHORT_MS = 400;

// Guards against a VM that takes a request late in its drain, passes it on to a
// replica, and cuts it when the grace period ends; and against one that turns
// away what it has the time to finish.
it("a draining VM takes only what it can finish", async () => {
  const fleet = await PlatformFleet.create({ vms: 0 });
  for (const replica of fleet.replicas) {
    Object.assign(replica, { events: EVENTS, eventGapMs: EVENT_GAP_MS });
  }
  const vm = await fleet.addVm({ drainGraceMs: GRACE_MS });
  const first = sendRequest(vm, { path: "/stream/x", timeoutMs: LONG_MS });
  await waitUntil(() => fleet.replicas.some(({ ran }) => ran.length > 0));
  const drained = vm.vm.drain();
  await sleep(LATE_MS);
  const late = await sendRequest(vm, { path: "/stream/x", timeoutMs: LONG_MS });
  expect(late).toMatchObject({ status: 503, isWhole: true });
  expect(late.headers["connection"]).toBe("close");
  expect(Number(late.headers["retry-after"])).toBeLessThan(1);
  await sleep(LATER_MS - LATE_MS);
  const short = await sendRequest(vm, {
    path: "/unsafe/x",
    timeoutMs: SHORT_MS,
  });
  expect(short).toMatchObject({ status: 200, isWhole: true });
  await drained;
  // Its grace period is over, and it was taken at once after the signal.
  expect(await first).toMatchObject({ status: 200, isWhole: false });
  expect(fleet.replicas.flatMap(({ ran }) => ran)).toHaveLength(2);
}, 15_000);

// Guards against a VM that closes while callers may still use its address,
// because nothing is in flight.
it("an idle draining VM serves callers with an older list", async () => {
  const fleet = await PlatformFleet.create();
  const [vm] = fleet.vms;
  const drained = vm!.vm.drain();
  await sleep(ADDRESS_AGE_MS);
  const answer = await sendRequest(vm!, { path: "/safe/x" });
  expect(answer).toMatchObject({ status: 200, isWhole: true });
  await drained;
});

// Guards against a drain that is ended by a SIGKILL, because callers may use the
// address for longer than the grace period.
it("a drain ends within its grace period whatever the time to live", async () => {
  const fleet = await PlatformFleet.create({ vms: 0 });
  const vm = await fleet.addVm({ drainGraceMs: 1_500, directoryTtlMs: 1_000 });
  const signalledAt = performance.now();
  await vm.vm.drain();
  expect(performance.now() - signalledAt).toBeLessThan(1_500);
});
