import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { LocalUpstreamLimits } from "../../../src/process/scheduler/local_upstream_limits.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const UPSTREAM = toId<VmId>("upstream-0");
const STEP_MS = 50;
const LIMIT_PER_S = 4;

function note(
  room: LocalUpstreamLimits,
  requestsPerS: number | undefined,
): void {
  room.noteSignals(UPSTREAM, {
    requestsPerS,
    isLeaving: false,
    backOffMs: 0,
    unreadable: [],
  });
}

// Guards against each VM using the whole limit while no owner answers.
it("a VM without an owner keeps to its part of a limit", async () => {
  const clock = VirtualClock.create();
  const room = LocalUpstreamLimits.create(clock);
  note(room, LIMIT_PER_S);
  let sent = 0;
  for (let at = 0; at < 20_000; at += STEP_MS) {
    if (room.canSend(UPSTREAM, 1 / 8)) {
      room.addSent(UPSTREAM);
      sent += 1;
    }
    await clock.run(STEP_MS);
  }
  expect(sent).toBeGreaterThanOrEqual(9);
  expect(sent).toBeLessThanOrEqual(11);
});

it("a limit ends with an answer that names none, or with its upstream", () => {
  const room = LocalUpstreamLimits.create(VirtualClock.create());
  const isOpen = () => room.canSend(UPSTREAM, 1);
  note(room, LIMIT_PER_S);
  room.addSent(UPSTREAM);
  note(room, undefined);
  expect(isOpen()).toBe(false);
  note(room, Infinity);
  expect(isOpen()).toBe(true);
  note(room, LIMIT_PER_S);
  room.addSent(UPSTREAM);
  room.dropUnlisted(() => false);
  expect(isOpen()).toBe(true);
});

it("an upstream that asks to back off gets nothing until then", async () => {
  const clock = VirtualClock.create();
  const room = LocalUpstreamLimits.create(clock);
  const isOpen = () => room.canSend(UPSTREAM, 1);
  room.noteSignals(UPSTREAM, {
    requestsPerS: undefined,
    isLeaving: false,
    backOffMs: 3_000,
    unreadable: [],
  });
  note(room, Infinity);
  await clock.run(2_900);
  expect(isOpen()).toBe(false);
  await clock.run(100);
  expect(isOpen()).toBe(true);
});
