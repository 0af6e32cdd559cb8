import { describe, expect, test } from "vitest";
import { countWorstMinute, runLimitScenario } from "../../../bench/limits.ts";
import {
  buildWorkspace,
  LimitFleet,
} from "../../../bench/support/limit_fleet.ts";
import { toId, type WorkspaceName } from "../../../src/ids.ts";
import { BURST_MS, CHUNK_TTL_MS } from "../../../src/process/limits/index.ts";

const WORKSPACE = toId<WorkspaceName>("clinic");
const MINUTE_MS = 60_000;
const IDLE_MS = 30_000;

function createFleet(limits: {
  requestsPerMinute: number;
  tokensPerMinute: number;
}): LimitFleet {
  const workspaces = [buildWorkspace(WORKSPACE, limits)];
  return LimitFleet.create({ seed: 7, vms: 8, workspaces });
}

/** Runs `work` in virtual time until it is done. */
async function runIn<T>(fleet: LimitFleet, work: Promise<T>): Promise<T> {
  let isDone = false;
  const watched = work.finally(() => {
    isDone = true;
  });
  while (!isDone) await fleet.clock.run(1);
  return watched;
}

/** Admits through the VMs in turn until one refuses. */
async function admitAll(
  fleet: LimitFleet,
  tokens: number,
): Promise<{ count: number; retryAfterMs: number | undefined }> {
  const vms = fleet.listVms();
  for (let count = 0;; count++) {
    const vm = vms[count % vms.length]!;
    const result = await runIn(fleet, fleet.admit(vm, WORKSPACE, tokens));
    if (!result.admitted) return { count, retryAfterMs: result.retryAfterMs };
  }
}

describe("WorkspaceLimits", () => {
  test("grants the burst after an idle period, through any VMs", async () => {
    const fleet = createFleet({ requestsPerMinute: 60, tokensPerMinute: 1e6 });
    await fleet.clock.run(IDLE_MS);
    const { count } = await admitAll(fleet, 10);
    const burst = 60 * BURST_MS / MINUTE_MS;
    expect(count).toBeGreaterThanOrEqual(burst);
    expect(count).toBeLessThanOrEqual(burst + 2);
  });

  test("reports an accurate retry-after", async () => {
    const fleet = createFleet({ requestsPerMinute: 60, tokensPerMinute: 1e6 });
    await fleet.clock.run(IDLE_MS);
    const { retryAfterMs } = await admitAll(fleet, 10);
    const [vm] = fleet.listVms();
    await fleet.clock.run(retryAfterMs! - 20);
    const early = await runIn(fleet, fleet.admit(vm!, WORKSPACE, 10));
    expect(early.admitted).toBe(false);
    await fleet.clock.run(early.retryAfterMs!);
    const due = await runIn(fleet, fleet.admit(vm!, WORKSPACE, 10));
    expect(due.admitted).toBe(true);
  });

  test("limits tokens as well as requests", async () => {
    const fleet = createFleet({
      requestsPerMinute: 6_000,
      tokensPerMinute: 60_000,
    });
    await fleet.clock.run(IDLE_MS);
    const { count } = await admitAll(fleet, 5_000);
    expect(count).toBe(4);
  });

  test("a request larger than the burst is served from a full bucket", async () => {
    const fleet = createFleet({
      requestsPerMinute: 60,
      tokensPerMinute: 9_000,
    });
    await fleet.clock.run(IDLE_MS);
    const { count, retryAfterMs } = await admitAll(fleet, 8_000);
    expect(count).toBe(1);
    expect(retryAfterMs).toBeGreaterThan(30_000);
  });

  test("a request larger than a minute's limit is refused without retry-after", async () => {
    const fleet = createFleet({
      requestsPerMinute: 60,
      tokensPerMinute: 9_000,
    });
    const [vm] = fleet.listVms();
    const result = await runIn(fleet, fleet.admit(vm!, WORKSPACE, 9_001));
    expect(result).toEqual({ admitted: false, retryAfterMs: undefined });
  });

  test("a request of a workspace with little traffic does not wait for the owner", async () => {
    const fleet = createFleet({ requestsPerMinute: 600, tokensPerMinute: 1e6 });
    await fleet.clock.run(IDLE_MS);
    const owner = fleet.findOwner(WORKSPACE);
    const other = fleet.listVms().find((vm) => vm !== owner)!;
    const before = fleet.clock.now();
    void fleet.admit(other, WORKSPACE, 100);
    await fleet.clock.run(0);
    expect(fleet.admissions).toHaveLength(1);
    expect(fleet.admissions[0]!.at).toBe(before);
  });

  test("tokens that were not used are returned", async () => {
    const fleet = createFleet({
      requestsPerMinute: 600,
      tokensPerMinute: 8_000,
    });
    await fleet.clock.run(IDLE_MS);
    const [vm] = fleet.listVms();
    await runIn(fleet, fleet.admit(vm!, WORKSPACE, 4_000));
    const refused = await runIn(fleet, fleet.admit(vm!, WORKSPACE, 1_000));
    expect(refused.admitted).toBe(false);
    const counts = { estimated: 4_000, actual: 100 };
    fleet.getLimits(vm!).settle(WORKSPACE, counts);
    await fleet.clock.run(refused.retryAfterMs!);
    for (let count = 0; count < 3; count++) {
      const result = await runIn(fleet, fleet.admit(vm!, WORKSPACE, 1_000));
      expect(result.admitted).toBe(true);
    }
  });

  test("tokens used beyond the estimate are charged", async () => {
    const fleet = createFleet({
      requestsPerMinute: 600,
      tokensPerMinute: 60_000,
    });
    await fleet.clock.run(IDLE_MS);
    const [vm] = fleet.listVms();
    await runIn(fleet, fleet.admit(vm!, WORKSPACE, 500));
    const counts = { estimated: 500, actual: 40_500 };
    fleet.getLimits(vm!).settle(WORKSPACE, counts);
    const { count, retryAfterMs } = await admitAll(fleet, 500);
    expect(count).toBeLessThanOrEqual(2);
    expect(retryAfterMs).toBeGreaterThan(20_000);
  });

  test("state of idle workspaces is dropped", async () => {
    const fleet = createFleet({ requestsPerMinute: 60, tokensPerMinute: 1e6 });
    await fleet.clock.run(IDLE_MS);
    await admitAll(fleet, 10);
    const countState = () =>
      fleet.listVms()
        .map((vm) => fleet.getLimits(vm).stats)
        .reduce((sum, { held, buckets }) => sum + held + buckets, 0);
    expect(countState()).toBe(9);
    await fleet.clock.run(2 * MINUTE_MS);
    expect(countState()).toBe(0);
  });
});

/**
 * What any minute may admit, relative to the limit: the burst, chunks granted
 * in the minute before, and one call in debt for each of two owners.
 */
const BOUND = 1 + (BURST_MS + CHUNK_TTL_MS) / MINUTE_MS + 2 * 0.015;

describe("overshoot at three times the limit through 8 VMs", () => {
  const options = { seed: 3, requestsPerMinute: 600 };

  test("is below 1% at steady load, and the limit is fully used", async () => {
    const figures = await runLimitScenario("steady", options);
    expect(figures.overall).toBeGreaterThan(0.99);
    expect(figures.overall).toBeLessThan(1.01);
  });

  test("stays under the bound for the burst after an idle period", async () => {
    const figures = await runLimitScenario("idle_then_burst", options);
    expect(figures.worstMinute).toBeGreaterThan(1.2);
    expect(figures.worstMinute).toBeLessThan(BOUND);
  });

  // Guards against a burst that is granted twice when the owner is lost: the
  // next owner does not know what was granted, so its bucket has to start
  // empty.
  test("is small when the owner is lost", async () => {
    const figures = await runLimitScenario("owner_lost", options);
    expect(figures.worstMinute).toBeLessThan(1.05);
    expect(figures.overall).toBeGreaterThan(0.95);
  });

  // Guards against twice the limit during a partition: each side has an owner,
  // which has to refill only at the share of the listed VMs that it reaches.
  test.each(["partition", "uneven_partition"])(
    "is small in a %s",
    async (name) => {
      const figures = await runLimitScenario(name, options);
      expect(figures.worstMinute).toBeLessThan(1.05);
      expect(figures.overall).toBeGreaterThan(0.95);
    },
  );

  // Guards against a burst that is granted twice after an owner was paused:
  // another VM takes over, then the first one wakes up, still considers itself
  // the owner, and finds its bucket refilled. A late tick has to empty it.
  test("is small when the owner is paused and resumes", async () => {
    const figures = await runLimitScenario("paused_owner", options);
    expect(figures.worstMinute).toBeLessThan(1.08);
  });

  // Guards against use of the local share that is not charged to the owner: a
  // call or its answer is lost, the VM uses its share for half a second, and
  // the owner goes on granting the whole rate. With 5% of messages lost, 1.88
  // times the limit was admitted.
  test("is small when messages are lost and repeated", async () => {
    const figures = await runLimitScenario("lossy", options);
    expect(figures.worstMinute).toBeLessThan(1.08);
    expect(figures.overall).toBeGreaterThan(0.9);
  });

  test("is at most one request for a small limit, which no VM holds back", async () => {
    const figures = await runLimitScenario("steady", {
      seed: 3,
      requestsPerMinute: 6,
    });
    expect(figures.overall).toBeGreaterThan(0.95);
    expect(figures.worstMinute).toBeLessThanOrEqual(1 + 1 / 6);
  });
});

describe("countWorstMinute", () => {
  test("finds the fullest window", () => {
    const admissions = [0, 1_000, 59_000, 60_500, 61_500]
      .map((at) => ({ at, vm: toId("a"), workspace: WORKSPACE, tokens: 1 }));
    expect(countWorstMinute(admissions as never)).toBe(3);
  });
});
