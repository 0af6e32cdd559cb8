import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { LocalUpstreamLimits } from "../../../src/process/scheduler/local_upstream_limits.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const UPSTREAM = toId<VmId>("upstream-0");
const STEP_MS = 50;
const LIMIT_PER_S = 4;

function applyLimit(
  limits: LocalUpstreamLimits,
  requestsPerS: number | undefined,
): void {
  limits.noteSignals(UPSTREAM, {
    requestsPerS,
    isLeaving: false,
    backOffMs: 0,
    isRejected: false,
    maxRejectionsPerS: undefined,
    unreadable: [],
  });
}

// Guards against every VM using the whole limit while no owner answers.
it("limits sending to this VM's share of a rate limit", async () => {
  const clock = VirtualClock.create();
  const limits = LocalUpstreamLimits.create(clock);
  applyLimit(limits, LIMIT_PER_S);
  let sent = 0;
  for (let at = 0; at < 20_000; at += STEP_MS) {
    if (limits.canSend(UPSTREAM, 1 / 8)) {
      limits.addSent(UPSTREAM);
      sent += 1;
    }
    await clock.run(STEP_MS);
  }
  expect(sent).toBeGreaterThanOrEqual(9);
  expect(sent).toBeLessThanOrEqual(11);
});

it("keeps a limit until a response lifts it or its upstream is unlisted", () => {
  const limits = LocalUpstreamLimits.create(VirtualClock.create());
  const isOpen = () => limits.canSend(UPSTREAM, 1);
  applyLimit(limits, LIMIT_PER_S);
  limits.addSent(UPSTREAM);
  applyLimit(limits, undefined);
  expect(isOpen()).toBe(false);
  applyLimit(limits, Infinity);
  expect(isOpen()).toBe(true);
  applyLimit(limits, LIMIT_PER_S);
  limits.addSent(UPSTREAM);
  limits.dropUnlisted(() => false);
  expect(isOpen()).toBe(true);
});

it("sends nothing to an upstream during its back-off", async () => {
  const clock = VirtualClock.create();
  const limits = LocalUpstreamLimits.create(clock);
  const isOpen = () => limits.canSend(UPSTREAM, 1);
  limits.noteSignals(UPSTREAM, {
    requestsPerS: undefined,
    isLeaving: false,
    backOffMs: 3_000,
    isRejected: false,
    maxRejectionsPerS: undefined,
    unreadable: [],
  });
  applyLimit(limits, Infinity);
  await clock.run(2_900);
  expect(isOpen()).toBe(false);
  await clock.run(100);
  expect(isOpen()).toBe(true);
});
