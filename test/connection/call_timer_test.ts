import { expect, it } from "vitest";
import { CallTimer } from "../../src/connection/call_timer.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

// Symptom: a run in virtual time stands still for ever at one moment.
// Sequence: a call begins at a time whose sum with the limit is rounded down;
// the timer fires at that sum.
// Cause: the check takes the difference, which is a hair below the limit, and
// sets the timer to the present again.
it("passes a limit at the very moment that its timer was set to", async () => {
  const clock = VirtualClock.create();
  const since = 991.0373855340468;
  const limitMs = 365;
  // The numbers are of the kind that round apart.
  expect(since + limitMs - since).toBeLessThan(limitMs);
  await clock.run(since);
  expect(clock.now()).toBe(since);
  const passed: string[] = [];
  const limits = { firstByteMs: limitMs, betweenBytesMs: 1, totalMs: 10_000 };
  const watch = CallTimer.create(clock, limits, {
    onTimeout: (kind) => passed.push(kind),
  });
  let timers = 0;
  const startTimer = clock.startTimer.bind(clock);
  clock.startTimer = (ms, callback) => {
    if (++timers > 10) throw new Error("The watch checks without end");
    return startTimer(ms, callback);
  };
  await clock.run(limitMs + 1);
  watch.stop();
  expect(passed).toEqual(["first_byte_timeout"]);
});

// Symptom: under a flood of long prompts requests are cut while they wait for
// their first byte, sent again elsewhere, and read a second time there.
// Sequence: a replica reads the prompts ahead for longer than the limit on
// silence, and sends tokens of other requests all the while.
// Cause: the limit looked at one call only and took a queue for a dead replica.
it("waits on past a limit on silence while it is told to", async () => {
  const clock = VirtualClock.create();
  let mayWaitOn = true;
  const passed: [string, number][] = [];
  const watch = CallTimer.create(clock, {
    firstByteMs: 1_000,
    betweenBytesMs: 1_000,
    totalMs: 60_000,
    canExtendTimeout: () => mayWaitOn,
  }, { onTimeout: (kind) => passed.push([kind, clock.now()]) });
  await clock.run(2_500);
  expect(passed).toEqual([]);
  mayWaitOn = false;
  await clock.run(1_000);
  watch.stop();
  expect(passed).toEqual([["first_byte_timeout", 3_000]]);
});

it("ends at the total limit whatever it is told", async () => {
  const clock = VirtualClock.create();
  const passed: string[] = [];
  const watch = CallTimer.create(clock, {
    firstByteMs: 400,
    betweenBytesMs: 400,
    totalMs: 1_000,
    canExtendTimeout: () => true,
  }, { onTimeout: (kind) => passed.push(kind) });
  await clock.run(1_001);
  watch.stop();
  expect(passed).toEqual(["total_timeout"]);
});
