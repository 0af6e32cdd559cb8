/**
 * The expectations that CI's fuzz tests share.
 *
 * @module
 */
import { expect } from "vitest";
import { checkFleet } from "./fleet_property.ts";
import type { Profile } from "./fuzz_commands.ts";

const RUNS = 500;
const SHRINK_MS = 30_000;

/** Time-out of one file's runs, including shrinking. */
export const FUZZ_TIMEOUT_MS = 300_000;

/** Cases that runs under faults must cover to be conclusive. */
export const COVERED_UNDER_FAULTS: readonly string[] = [
  "whole",
  "gone",
  "shed",
  "preempted",
  "refused already_submitted",
];

/** Runs one file's share of the fuzzing; fails on a violated invariant. */
export async function checkInvariants(
  options: { seed: number; profile: Profile; covered: readonly string[] },
): Promise<void> {
  const report = await checkFleet({
    seed: options.seed,
    runs: RUNS,
    shrinkMs: SHRINK_MS,
    profile: options.profile,
  });
  expect(report.isBroken, report.text).toBe(false);
  expect(report.runs).toBe(RUNS);
  for (const what of options.covered) {
    expect(report.covered[what], what).toBeGreaterThan(0);
  }
}
