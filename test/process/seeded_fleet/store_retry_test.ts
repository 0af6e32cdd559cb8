import { expect, it } from "vitest";
import { StoreRetry } from "../../../src/process/seeded_fleet/store_retry.ts";

function listIntervals(
  vmCount: number,
  failures: number,
  isViewStale = true,
): number[] {
  const retry = StoreRetry.create();
  return Array.from({ length: failures }, () => {
    retry.noteFailed();
    return retry.computeIntervalMs(vmCount, isViewStale);
  });
}

// Guards against a VM of a large fleet that waits for seconds after one failure.
it("the interval grows with the failures in a row", () => {
  expect(listIntervals(88, 6)).toEqual([20, 250, 500, 1_000, 2_000, 2_200]);
});

it("a small fleet retries at a steady interval", () => {
  expect(listIntervals(7, 4)).toEqual([20, 250, 250, 250]);
});

it("VMs with a fresh view retry at a steady interval", () => {
  expect(listIntervals(88, 4, false)).toEqual([20, 250, 250, 250]);
});

it("an answer resets the interval", () => {
  const retry = StoreRetry.create();
  retry.noteFailed();
  retry.noteFailed();
  retry.noteAnswered();
  retry.noteFailed();
  expect(retry.computeIntervalMs(88, true)).toBe(20);
});
