import { expect, it } from "vitest";
import { ReadDelay } from "../../../src/process/seeded_fleet/read_delay.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { StallingClock } from "../../support/stalling_clock.ts";

const INTERVAL_MS = 100;

function startDelay(stall: { from: number; to: number }) {
  const virtual = VirtualClock.create();
  const readDelay = ReadDelay.create(
    StallingClock.create(virtual, stall),
    INTERVAL_MS,
  );
  readDelay.start();
  return { virtual, readDelay };
}

it("tells that what is read after a stall may have come during it", async () => {
  const { virtual, readDelay } = startDelay({ from: 1_010, to: 1_600 });
  await virtual.run(1_600);
  expect(readDelay.computeArrivedSince()).toBe(1_000);
  await virtual.run(50);
  expect(readDelay.computeArrivedSince()).toBe(1_000);
});

it("tells of no stall once the process runs again", async () => {
  const { virtual, readDelay } = startDelay({ from: 1_010, to: 1_600 });
  await virtual.run(1_950);
  expect(readDelay.computeArrivedSince()).toBe(virtual.now());
});

// Guards against a signal that counts as sent now, because reading all sockets
// after a stall took longer than the time for which a stall was remembered.
it("counts a stall until the process runs its timers again", async () => {
  const { virtual, readDelay } = startDelay({ from: 1_010, to: 1_600 });
  await virtual.run(1_600);
  // No timer runs from here on, as while one socket after the other is read.
  readDelay.stop();
  await virtual.run(250);
  expect(readDelay.computeArrivedSince()).toBe(1_000);
});

// Guards against a signal that counts as sent when it is handled, because the
// process stood still too shortly for it to count as a stall.
it("tells until when all that had arrived has been handled", async () => {
  const { virtual, readDelay } = startDelay({ from: 1_010, to: 1_199 });
  await virtual.run(1_190);
  expect(readDelay.computeArrivedSince()).toBe(virtual.now());
  expect(readDelay.getHandledUntil()).toBe(900);
  await virtual.run(200);
  expect(readDelay.getHandledUntil()).toBe(1_199);
});
