import { expect, it } from "vitest";
import { CallTimer } from "../../src/connection/call_timer.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

// Guards against an endless loop at one point of virtual time. The timer fires
// at start + timeout, which floating point may round down. A check that compares
// the difference then finds it just below the timeout and rearms with 0 ms.
it("times out at exactly the time that its timer is set to", async () => {
  const clock = VirtualClock.create();
  const startedAt = 991.0373855340468;
  const timeoutMs = 365;
  // The sum of these numbers is rounded down.
  expect(startedAt + timeoutMs - startedAt).toBeLessThan(timeoutMs);
  await clock.run(startedAt);
  expect(clock.now()).toBe(startedAt);
  const expired: string[] = [];
  const timeouts = {
    firstByteMs: timeoutMs,
    betweenBytesMs: 1,
    totalMs: 10_000,
  };
  const timer = CallTimer.create(clock, timeouts, {
    onTimeout: (kind) => expired.push(kind),
  });
  let timers = 0;
  const startTimer = clock.startTimer.bind(clock);
  clock.startTimer = (ms, callback) => {
    if (++timers > 10) throw new Error("The timer is rearmed endlessly");
    return startTimer(ms, callback);
  };
  await clock.run(timeoutMs + 1);
  timer.stop();
  expect(expired).toEqual(["first_byte_timeout"]);
});

// Guards against retries of requests that only wait in a queue. Under many long
// prompts, a replica prefills the prompts ahead for longer than the timeout on
// silence while it streams tokens of other requests; a retry would prefill the
// prompt a second time elsewhere.
it("extends the timeout on silence while allowed", async () => {
  const clock = VirtualClock.create();
  let canExtendTimeout = true;
  const expired: [string, number][] = [];
  const timer = CallTimer.create(clock, {
    firstByteMs: 1_000,
    betweenBytesMs: 1_000,
    totalMs: 60_000,
    computeExtensionMs: () => canExtendTimeout ? 1_000 : 0,
  }, { onTimeout: (kind) => expired.push([kind, clock.now()]) });
  await clock.run(2_500);
  expect(expired).toEqual([]);
  canExtendTimeout = false;
  await clock.run(1_000);
  timer.stop();
  expect(expired).toEqual([["first_byte_timeout", 3_000]]);
});

it("times out at the total timeout even if extension is allowed", async () => {
  const clock = VirtualClock.create();
  const expired: string[] = [];
  const timer = CallTimer.create(clock, {
    firstByteMs: 400,
    betweenBytesMs: 400,
    totalMs: 1_000,
    computeExtensionMs: () => 1_000,
  }, { onTimeout: (kind) => expired.push(kind) });
  await clock.run(1_001);
  timer.stop();
  expect(expired).toEqual(["total_timeout"]);
});
