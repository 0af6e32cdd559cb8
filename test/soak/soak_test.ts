import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { beforeAll, describe, expect, it } from "vitest";
import { runSoak } from "./run_soak.ts";

/** The seed of the run that every change goes through. */
const CHECKED_SEED = 1;
const CHECKED_MS = 8_000;

describe("the daemon under faults from outside", () => {
  beforeAll(async () => {
    await promisify(execFile)(process.execPath, ["deploy/bundle.js"]);
  });

  it("keeps its promises", async () => {
    const report = await runSoak({
      seed: CHECKED_SEED,
      forMs: CHECKED_MS,
      vms: 3,
      replicas: 3,
      callers: 6,
    });
    expect(report.broken, report.logs).toEqual([]);
    expect(report.statuses["200"]).toBeGreaterThan(0);
  });
});
