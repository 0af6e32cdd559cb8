import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { beforeAll, describe, expect, it } from "vitest";
import { runSoak } from "./run_soak.ts";

/** The seed of the soak that CI runs for every change. */
const CHECKED_SEED = 1;
const CHECKED_MS = 8_000;
const RELOAD_AT_START_SEED = 217;
const LISTED_ANEW_SEED = 742;
const LOST_LINKS_SEED = 543;

describe("the daemon under external faults", () => {
  beforeAll(async () => {
    await promisify(execFile)(process.execPath, ["deploy/bundle.js"]);
  });

  it("violates no guarantee", async () => {
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

  // Guards against a reload signal that ends a process during its start.
  it("violates no guarantee when a reload hits a starting process", async () => {
    const report = await runSoak({
      seed: RELOAD_AT_START_SEED,
      forMs: 12_000,
      vms: 4,
      replicas: 3,
      callers: 12,
    });
    expect(report.broken, report.logs).toEqual([]);
  });

  // Guards against a check that takes a replica's notice for one of the process
  // that is listed next under its id.
  it("violates no guarantee when a leaving replica is listed anew", async () => {
    const report = await runSoak({
      seed: LISTED_ANEW_SEED,
      forMs: 12_000,
      vms: 4,
      replicas: 3,
      callers: 12,
    });
    expect(report.broken, report.logs).toEqual([]);
  });

  // Guards against VMs that refuse requests because they have lost their links to
  // all replicas, while others serve.
  it("violates no guarantee when VMs lose their links to replicas", async () => {
    const report = await runSoak({
      seed: LOST_LINKS_SEED,
      forMs: 18_000,
      vms: 8,
      replicas: 6,
      callers: 24,
    });
    expect(report.broken, report.logs).toEqual([]);
  });
});
