import { expect, it } from "vitest";
import { startSilenceTimer } from "../../src/connection/silence_timer.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const TIMEOUT_MS = 250;
const STALL_MS = 400;
const GRACE_MS = 100;

/** A clock whose first timer fires late, as after a stall. */
function createStalledClock(): VirtualClock {
  const clock = VirtualClock.create();
  const startTimer = clock.startTimer.bind(clock);
  let timers = 0;
  clock.startTimer = (ms, callback) =>
    startTimer(timers++ === 0 ? ms + STALL_MS : ms, callback);
  return clock;
}

it("fires in time while the process runs", async () => {
  const clock = VirtualClock.create();
  let firedAt: number | undefined;
  startSilenceTimer(clock, TIMEOUT_MS, () => firedAt = clock.now());
  await clock.run(TIMEOUT_MS);
  expect(firedAt).toBe(TIMEOUT_MS);
});

it("leaves time to read after a stall", async () => {
  const clock = createStalledClock();
  let firedAt: number | undefined;
  startSilenceTimer(clock, TIMEOUT_MS, () => firedAt = clock.now());
  await clock.run(TIMEOUT_MS + STALL_MS + GRACE_MS);
  expect(firedAt).toBe(TIMEOUT_MS + STALL_MS + GRACE_MS);
});

it("can be cancelled in the time after a stall", async () => {
  const clock = createStalledClock();
  let hasFired = false;
  const cancel = startSilenceTimer(clock, TIMEOUT_MS, () => hasFired = true);
  await clock.run(TIMEOUT_MS + STALL_MS + GRACE_MS / 2);
  cancel();
  await clock.run(GRACE_MS);
  expect(hasFired).toBe(false);
});
