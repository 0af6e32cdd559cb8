/**
 * What each of CI's fuzz files expects of its runs.
 *
 * @module
 */
import { expect } from "vitest";
import { checkFleet } from "./fleet_property.ts";
import type { Profile } from "./fuzz_commands.ts";

const RUNS = 500;
const SHRINK_MS = 30_000;

/** The longest that one file's runs may take, shrinking included. */
export const FUZZ_TIMEOUT_MS = 300_000;

/** What runs under faults must have met: else they would prove nothing. */
export const MET_UNDER_FAULTS: readonly string[] = [
  "whole",
  "gone",
  "shed",
  "preempted",
  "refused already_submitted",
];

/** Runs a file's share of the fleet's fuzzing; fails on a broken promise. */
export async function checkPromises(
  options: { seed: number; profile: Profile; met: readonly string[] },
): Promise<void> {
  const report = await checkFleet({
    seed: options.seed,
    runs: RUNS,
    shrinkMs: SHRINK_MS,
    profile: options.profile,
  });
  expect(report.isBroken, report.text).toBe(false);
  expect(report.runs).toBe(RUNS);
  for (const what of options.met) {
    expect(report.met[what], what).toBeGreaterThan(0);
  }
}
