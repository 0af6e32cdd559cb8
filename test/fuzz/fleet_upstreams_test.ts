import { expect, it } from "vitest";
import { checkFleet } from "./fleet_property.ts";

const SEED = 505;
const RUNS = 500;
const SHRINK_MS = 30_000;
const TIMEOUT_MS = 300_000;

it("keeps every promise under faults of upstreams", async () => {
  const report = await checkFleet({
    seed: SEED,
    runs: RUNS,
    shrinkMs: SHRINK_MS,
    profile: "upstreams",
  });
  expect(report.isBroken, report.text).toBe(false);
  expect(report.runs).toBe(RUNS);
  // A run that met nothing would keep every promise.
  for (
    const what of [
      "whole",
      "gone",
      "shed",
      "preempted",
      "refused already_submitted",
    ]
  ) {
    expect(report.met[what], what).toBeGreaterThan(0);
  }
}, TIMEOUT_MS);
