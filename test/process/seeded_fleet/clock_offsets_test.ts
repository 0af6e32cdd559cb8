import { expect, it } from "vitest";
import { type Incarnation, toId } from "../../../src/ids.ts";
import { ClockOffsets } from "../../../src/process/seeded_fleet/clock_offsets.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const OTHER = toId<Incarnation>("process-2");
/** The other clock is ahead by so many milliseconds. */
const AHEAD_MS = 500_000;

function startOffsets() {
  const clock = VirtualClock.create();
  const offsets = ClockOffsets.create(clock);
  const receive = (delayMs: number) =>
    offsets.noteMessage(OTHER, clock.now() + AHEAD_MS - delayMs);
  return { clock, offsets, receive };
}

it("a time is unknown before the first message of its process", async () => {
  const { clock, offsets } = startOffsets();
  await clock.run(100);
  expect(offsets.computeLocalTime(OTHER, AHEAD_MS)).toBeUndefined();
});

it("a time is off by the delay of the fastest message", async () => {
  const { clock, offsets, receive } = startOffsets();
  await clock.run(1_000);
  receive(80);
  expect(offsets.computeLocalTime(OTHER, AHEAD_MS + 300)).toBe(380);
  receive(5);
  receive(400);
  expect(offsets.computeLocalTime(OTHER, AHEAD_MS + 300)).toBe(305);
});

// Guards against a VM that has just started, reads its first messages late and
// takes old times for new ones until it hears from each process again.
it("a time that others pass on corrects the offset", async () => {
  const { clock, offsets, receive } = startOffsets();
  await clock.run(2_000);
  receive(900);
  await clock.run(1_000);
  const passedOn = clock.now() + AHEAD_MS - 40;
  expect(offsets.computeLocalTime(OTHER, passedOn)).toBe(clock.now());
  expect(offsets.computeLocalTime(OTHER, AHEAD_MS + 1_000)).toBe(1_040);
});

it("a time is never in the future", async () => {
  const { clock, offsets, receive } = startOffsets();
  await clock.run(1_000);
  receive(80);
  expect(offsets.computeLocalTime(OTHER, AHEAD_MS + 990)).toBe(1_000);
});

// Guards against views that count as old for good because a VM that reads the
// store was suspended, and its clock with it.
it("an offset follows a clock that has stood still", async () => {
  const { clock, offsets, receive } = startOffsets();
  await clock.run(1_000);
  receive(0);
  for (let second = 0; second < 100; second++) {
    await clock.run(1_000);
    receive(500);
  }
  const now = clock.now();
  const known = offsets.computeLocalTime(OTHER, now + AHEAD_MS - 500);
  expect(known).toBe(now);
});
