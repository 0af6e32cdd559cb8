import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { LeaseEntry } from "../../../src/process/scheduler/lease_ledger.ts";
import {
  chooseVictim,
  type PreemptionRequest,
  type PreemptionState,
} from "../../../src/process/scheduler/preemption.ts";
import {
  buildCall,
  buildClass,
  buildPool,
  createOwnerHarness,
} from "./fixtures.ts";

const REQUEST: PreemptionRequest = {
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
  return chooseVictim(REQUEST, {
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
  test("prefers the lowest tier even if a higher one is cheaper", () => {
    const low = buildLease({ rank: 2, tokens: 300 });
    const middle = buildLease({ rank: 1, tokens: 0 });
    expect(choose([middle, low])).toBe(low);
    expect(choose([low, middle])).toBe(low);
  });

  test.each([
    ["a lease of its own tier", { rank: 0 }],
    ["a request that is not idempotent", { idempotent: false }],
    ["a request that was resumed before", { doneTokens: 10 }],
    ["a request that is already preempted", { preempted: true }],
    ["a lease granted by another owner", { isOwnGrant: false }],
  ])("never preempts %s", (_name, changes) => {
    expect(choose([buildLease(changes)])).toBeUndefined();
  });

  test("does not preempt a request that is nearly done", () => {
    const nearlyDone = { computeRemainingMs: () => 300 };
    expect(choose([buildLease({})], nearlyDone)).toBeUndefined();
  });

  test("weighs wasted work against the missed target", () => {
    const lease = buildLease({ promptTokens: 8_000 });
    const wasteful = { wastedWork: 5, goodput: 1, attainment: 1 };
    const timely = { wastedWork: 1, goodput: 1, attainment: 5 };
    expect(choose([lease], {}, wasteful)).toBeUndefined();
    expect(choose([lease], {}, timely)).toBe(lease);
  });

  test("does not preempt a request that would then miss its own target", () => {
    const tight = buildLease({ deadlineAt: 12_000 });
    expect(choose([tight])).toBeUndefined();
  });
});

describe("ShardOwner with preemption", () => {
  test("notifies the holder and grants the slot to the higher tier", async () => {
    const high = buildClass("high");
    high.targets.firstTokenMs = 5_000;
    const low = buildClass("low", {
      tier: toId("bronze"),
      maxOutputTokens: 100_000,
    });
    low.targets.totalMs = 600_000;
    const harness = await createOwnerHarness({
      classes: [high, low],
      pool: buildPool(),
    });
    const running = harness.acquire(
      buildCall("low", { maxTokens: 100_000, deadlineInMs: 1e9 }),
    );
    await harness.clock.run(10);
    const waiting = harness.acquire(buildCall("high"));
    await harness.clock.run(300);
    const update = harness.leases.get(running.ticket)!;
    const sync = {
      from: running.from,
      shard: running.shard,
      news: [update],
      withdrawn: [],
    };
    expect(harness.owner.syncLeases(sync).preempt).toEqual([update.lease]);
    expect(harness.granted).not.toContain(waiting.ticket);
    harness.release(running, { state: "cancelled" });
    await harness.clock.run(1);
    expect(harness.granted).toContain(waiting.ticket);
  });
});
