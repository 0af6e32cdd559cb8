import { expect, it } from "vitest";
import { PlatformFleet, sendRequest } from "../platform/platform_fleet.ts";
import { runStall } from "../support/process_stall.ts";
import { waitUntil } from "../support/loopback.ts";

const GRACE_MS = 1_500;
const STALL_MS = 700;
const LONG_MS = 10_000;

// Guards against a drain that outlasts the grace period, and is ended by a
// SIGKILL, because the process handled the signal late.
it("a drain counts from when its signal may have been sent", async () => {
  const fleet = await PlatformFleet.create({ vms: 0 });
  for (const replica of fleet.replicas) {
    Object.assign(replica, { events: 300, eventGapMs: 20 });
  }
  const vm = await fleet.addVm({ drainGraceMs: GRACE_MS });
  const stream = sendRequest(vm, { path: "/stream/x", timeoutMs: LONG_MS });
  await waitUntil(() => fleet.replicas.some(({ ran }) => ran.length > 0));
  const signalledAt = performance.now();
  runStall(STALL_MS);
  await vm.vm.drain();
  expect(performance.now() - signalledAt).toBeLessThan(GRACE_MS);
  expect(await stream).toMatchObject({ status: 200, isWhole: false });
}, 15_000);
