import { expect, test } from "vitest";
import { BenchClock } from "../../bench/support/bench_clock.ts";

// Guards against a benchmark that never ends. A task waits for a limit by
// sleeping for the remainder. If the remainder is below the rounding of the
// clock, the next sleep ends at the same time, and so on.
test("a wait for the remainder of a limit ends", async () => {
  const clock = BenchClock.create();
  await clock.run(100_000 + 1 / 7);
  const since = clock.now();
  const limitMs = 10_000 + 1 / 3;
  let rounds = 0;
  const wait = async () => {
    while (clock.now() - since < limitMs && rounds < 1_000) {
      rounds += 1;
      await clock.sleep(limitMs - (clock.now() - since));
    }
  };
  void wait();
  await clock.run(20_000);
  expect(rounds).toBeGreaterThan(0);
  expect(rounds).toBeLessThan(10);
});

test("timers that are due at the same time fire in the order of their start", async () => {
  const clock = BenchClock.create();
  const fired: number[] = [];
  for (const number of [1, 2, 3]) {
    clock.startTimer(5, () => fired.push(number));
  }
  await clock.run(5);
  expect(fired).toEqual([1, 2, 3]);
});
