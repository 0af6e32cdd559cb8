import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { LeaseEntry } from "../../../src/process/scheduler/lease_ledger.ts";
import {
  chooseVictim,
  type PreemptionState,
  type PreemptionWish,
} from "../../../src/process/scheduler/preemption.ts";
import {
  buildCall,
  buildClass,
  buildPool,
  createOwnerHarness,
} from "./fixtures.ts";

const WISH: PreemptionWish = {
  rank: 0,
  startBy: 1_000,
  now: 0,
  expectedWaitMs: 5_000,
  returnMs: 700,
};

function buildLease(changes: Partial<LeaseEntry>): LeaseEntry {
  return {
    lease: toId("lease"),
    ticket: toId("ticket"),
    holder: toId("entry-0"),
    upstream: toId("upstream-0"),
    className: toId("low"),
    workspace: toId("workspace"),
    rank: 2,
    weight: 1,
    modelKey: "model",
    idempotent: true,
    isLong: false,
    isPromoted: false,
    isOwnGrant: true,
    doneTokens: 0,
    promptTokens: 100,
    grantedAt: 0,
    deadlineAt: 100_000,
    chargedCost: 100,
    expectedTokens: 400,
    priority: 2,
    expiresAt: 10_000,
    tokens: 50,
    firstTokenMs: 100,
    betweenTokensMs: 20,
    preempted: false,
    ...changes,
  };
}

function choose(
  leases: LeaseEntry[],
  changes: Partial<PreemptionState> = {},
  weights = { wastedWork: 1, goodput: 1, attainment: 1 },
): LeaseEntry | undefined {
  return chooseVictim(WISH, {
    policy: {
      kind: "policy",
      name: "policy",
      weights,
      retryShare: 0,
      preemption: true,
      weightStoreOrdersPerMinute: 1,
    },
    slots: 10,
    leases,
    computeRemainingMs: () => 10_000,
    isUseful: () => true,
    ...changes,
  });
}

describe("chooseVictim", () => {
  test("takes the lowest tier, whatever is cheaper above it", () => {
    const low = buildLease({ rank: 2, tokens: 300 });
    const middle = buildLease({ rank: 1, tokens: 0 });
    expect(choose([middle, low])).toBe(low);
    expect(choose([low, middle])).toBe(low);
  });

  test.each([
    ["its own tier", { rank: 0 }],
    ["work that may run once only", { idempotent: false }],
    ["work that was resumed already", { doneTokens: 10 }],
    ["work that was stopped already", { preempted: true }],
    ["leases of another owner", { isOwnGrant: false }],
  ])("never takes %s", (_name, changes) => {
    expect(choose([buildLease(changes)])).toBeUndefined();
  });

  test("lets work finish that is nearly done", () => {
    const nearlyDone = { computeRemainingMs: () => 300 };
    expect(choose([buildLease({})], nearlyDone)).toBeUndefined();
  });

  test("weighs wasted work against the target that would be missed", () => {
    const lease = buildLease({ promptTokens: 8_000 });
    const wasteful = { wastedWork: 5, goodput: 1, attainment: 1 };
    const timely = { wastedWork: 1, goodput: 1, attainment: 5 };
    expect(choose([lease], {}, wasteful)).toBeUndefined();
    expect(choose([lease], {}, timely)).toBe(lease);
  });

  test("spares work whose own target would then be missed", () => {
    const tight = buildLease({ deadlineAt: 12_000 });
    expect(choose([tight])).toBeUndefined();
  });
});

describe("an owner that preempts", () => {
  test("tells the holder, and gives the slot to the higher tier", async () => {
    const high = buildClass("high");
    high.targets.firstTokenMs = 5_000;
    const low = buildClass("low", {
      tier: toId("bronze"),
      maxOutputTokens: 100_000,
    });
    low.targets.totalMs = 600_000;
    const bench = await createOwnerHarness({
      classes: [high, low],
      pool: buildPool(),
    });
    const running = bench.acquire(
      buildCall("low", { maxTokens: 100_000, deadlineInMs: 1e9 }),
    );
    await bench.clock.run(10);
    const waiting = bench.acquire(buildCall("high"));
    await bench.clock.run(300);
    const news = bench.leases.get(running.ticket)!;
    const sync = {
      from: running.from,
      shard: running.shard,
      news: [news],
      withdrawn: [],
    };
    expect(bench.owner.syncLeases(sync).preempt).toEqual([news.lease]);
    expect(bench.granted).not.toContain(waiting.ticket);
    bench.release(running, { state: "cancelled" });
    await bench.clock.run(1);
    expect(bench.granted).toContain(waiting.ticket);
  });
});
