import { describe, expect, test } from "vitest";
import { toId } from "../../../src/ids.ts";
import type { AcquireCall } from "../../../src/process/peer_api.ts";
import {
  buildCall,
  buildClass,
  buildLeaseUpdate,
  buildPool,
  createOwnerHarness,
  type OwnerHarness,
  runSlots,
} from "./fixtures.ts";

const HIGH = buildClass("high");
const LOW = buildClass("low", { tier: toId("bronze") });

/** Sends `count` acquire calls at intervals of 1 ms. */
async function acquireMany(
  harness: OwnerHarness,
  count: number,
  build: (index: number) => AcquireCall,
): Promise<AcquireCall[]> {
  const calls: AcquireCall[] = [];
  for (let index = 0; index < count; index++) {
    calls.push(harness.acquire(build(index)));
    await harness.clock.run(1);
  }
  return calls;
}

describe("granting", () => {
  test("grants a free slot at once and the next when it is returned", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [first, second] = await acquireMany(
      harness,
      2,
      () => buildCall("high"),
    );
    expect(harness.granted).toEqual([first!.ticket]);
    harness.release(first!);
    await harness.clock.run(1);
    expect(harness.granted).toEqual([first!.ticket, second!.ticket]);
  });

  test("grants by tier regardless of arrival order", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH, LOW] });
    const [running, low] = await acquireMany(
      harness,
      2,
      () => buildCall("low"),
    );
    const [high] = await acquireMany(harness, 1, () => buildCall("high"));
    harness.release(running!);
    await harness.clock.run(1);
    harness.release(high!);
    await harness.clock.run(1);
    expect(harness.granted).toEqual([
      running!.ticket,
      high!.ticket,
      low!.ticket,
    ]);
  });

  test("answers queued after the hold time and keeps the queue position", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [running] = await acquireMany(harness, 1, () => buildCall("high"));
    const call = buildCall("high", { holdMs: 500, deadlineInMs: 5_000 });
    const held = harness.owner.acquire(call);
    await harness.clock.run(10);
    const [later] = await acquireMany(
      harness,
      1,
      () => buildCall("high", { deadlineInMs: 5_000 }),
    );
    await harness.clock.run(500);
    expect((await held).kind).toBe("queued");
    harness.acquire({ ...call, ageMs: 510, deadlineInMs: 4_490 });
    await harness.clock.run(10);
    harness.release(running!);
    await harness.clock.run(1);
    expect(harness.granted).toEqual([running!.ticket, call.ticket]);
    expect(harness.granted).not.toContain(later!.ticket);
  });

  test("drops a ticket whose next call does not arrive", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    await acquireMany(harness, 1, () => buildCall("high"));
    harness.acquire(buildCall("high", { holdMs: 500 }));
    await harness.clock.run(400);
    expect(harness.owner.waitingCount).toBe(1);
    await harness.clock.run(2_300);
    expect(harness.owner.waitingCount).toBe(0);
  });
});

describe("shedding", () => {
  // Guards against shedding by arrival order: when low-tier requests fill the
  // queue, later high-tier requests must not be the ones that are shed.
  test("sheds waiters of low tiers to queue requests of high tiers", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH, LOW],
      queueBound: 3,
    });
    const lows = await acquireMany(harness, 5, () => buildCall("low"));
    const highs = await acquireMany(harness, 4, () => buildCall("high"));
    for (const high of highs) {
      expect(harness.refused.has(high.ticket)).toBe(false);
    }
    const shed = lows.filter((low) => harness.refused.has(low.ticket));
    expect(shed.length).toBeGreaterThan(0);
    for (const low of shed) {
      expect(harness.refused.get(low.ticket)).toBe("shed");
    }
  });

  test("forwards a victim to a shard that serves a lower tier", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH],
      queueBound: 1,
      others: [
        {
          shard: toId("pool/1"),
          owner: toId("entry-1"),
          room: 0,
          slots: 1,
          waitingByRank: { 2: 5 },
          lowestRank: 2,
          expectedWaitMs: 100,
          sequence: 1,
        },
      ],
    });
    await acquireMany(harness, 3, () => buildCall("high"));
    const call = buildCall("high");
    const answer = await harness.owner.acquire(call);
    expect(answer).toEqual({ kind: "pass_on", shard: "pool/1" });
    // A ticket that is sent back is not forwarded again.
    const again = await harness.owner.acquire(call);
    expect(again.kind).toBe("refused");
  });
});

describe("bounded wait", () => {
  // Guards against starvation: with strict tiers alone, a class of a low tier
  // would never get a slot while a high tier fills the queue.
  test("grants the first request of a low class within its maximum wait", async () => {
    const low = buildClass("low", { tier: toId("bronze"), maxWaitMs: 4_000 });
    const harness = await createOwnerHarness({ classes: [HIGH, low] });
    const calls = await acquireMany(harness, 400, () => buildCall("high"));
    const [waiting] = await acquireMany(harness, 1, () => buildCall("low"));
    calls.push(waiting!);
    await runSlots(harness, { ms: 4_000, holdMs: 100, calls });
    expect(harness.granted).toContain(waiting!.ticket);
    const high = calls.filter((call) => call.className === "high");
    expect(high.some((call) => !harness.granted.includes(call.ticket)))
      .toBe(true);
  });

  test("grants at most half of the slots to low classes ahead of their tier", async () => {
    const low = buildClass("low", { tier: toId("bronze"), maxWaitMs: 200 });
    const harness = await createOwnerHarness({
      classes: [HIGH, low],
      pool: buildPool({ slots: { initial: 4, min: 4, max: 4 } }),
    });
    const running = await acquireMany(harness, 4, () => buildCall("high"));
    await acquireMany(harness, 20, () => buildCall("high"));
    const lows = await acquireMany(harness, 20, () => buildCall("low"));
    for (const call of running) {
      await harness.clock.run(300);
      harness.release(call);
    }
    await harness.clock.run(300);
    const granted = lows.filter((call) =>
      harness.granted.includes(call.ticket)
    );
    expect(granted.length).toBe(2);
  });
});

describe("fair share", () => {
  test("serves a light workspace during another one's burst", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const calls = await acquireMany(
      harness,
      100,
      () => buildCall("high", { workspace: toId("heavy") }),
    );
    const light = await acquireMany(
      harness,
      5,
      () => buildCall("high", { workspace: toId("light") }),
    );
    calls.push(...light);
    await runSlots(harness, { ms: 1_500, holdMs: 90, calls });
    for (const call of light) expect(harness.granted).toContain(call.ticket);
  });

  test("divides grants by workspace weight", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH],
      weights: { three: 3, one: 1 },
    });
    const calls = await acquireMany(
      harness,
      200,
      (index) =>
        buildCall("high", { workspace: toId(index % 2 ? "three" : "one") }),
    );
    await runSlots(harness, { ms: 8_000, holdMs: 90, calls });
    const three = calls.filter((call) =>
      call.workspace === toId("three") && harness.granted.includes(call.ticket)
    );
    const share = three.length / harness.granted.length;
    expect(share).toBeGreaterThan(0.68);
    expect(share).toBeLessThan(0.82);
  });
});

describe("class and tier limits", () => {
  test("limits a class's queue and displaces the latest request of a burst", async () => {
    const small = buildClass("small", { queueLimit: 5 });
    const harness = await createOwnerHarness({ classes: [small] });
    const burst = await acquireMany(
      harness,
      10,
      () => buildCall("small", { workspace: toId("heavy") }),
    );
    expect(harness.owner.waitingCount).toBe(5);
    expect(harness.refused.get(burst[9]!.ticket)).toBe("queue_full");
    const [light] = await acquireMany(
      harness,
      1,
      () => buildCall("small", { workspace: toId("light") }),
    );
    expect(harness.refused.has(light!.ticket)).toBe(false);
    expect(harness.refused.get(burst[5]!.ticket)).toBe("queue_full");
    expect(harness.owner.waitingCount).toBe(5);
  });

  test("limits a tier to its share of slots", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH, LOW],
      pool: buildPool({ slots: { initial: 4, min: 4, max: 4 } }),
      slotShares: { bronze: 0.5 },
    });
    await acquireMany(harness, 4, () => buildCall("low"));
    expect(harness.granted.length).toBe(2);
    await acquireMany(harness, 2, () => buildCall("high"));
    expect(harness.granted.length).toBe(4);
  });

  test("reserves the last slots for short requests", async () => {
    const short = buildClass("short", { maxOutputTokens: 10 });
    const long = buildClass("long", { maxOutputTokens: 100_000 });
    long.targets.totalMs = 600_000;
    const harness = await createOwnerHarness({
      classes: [short, long],
      pool: buildPool({ slots: { initial: 8, min: 8, max: 8 } }),
    });
    const shorts = await acquireMany(harness, 40, () => buildCall("short"));
    await runSlots(harness, { ms: 3_000, holdMs: 50, calls: shorts });
    const longs = await acquireMany(
      harness,
      12,
      () => buildCall("long", { maxTokens: 100_000, deadlineInMs: 600_000 }),
    );
    const held = longs.filter((call) => harness.granted.includes(call.ticket));
    expect(held.length).toBe(7);
    const [quick] = await acquireMany(harness, 1, () => buildCall("short"));
    expect(harness.granted).toContain(quick!.ticket);
  });
});

describe("leases", () => {
  // Guards against a slot that stays in use after its holder's VM has failed.
  test("expire when they are not renewed", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [, second] = await acquireMany(harness, 2, () => buildCall("high"));
    await harness.clock.run(2_000);
    expect(harness.granted.length).toBe(1);
    await harness.clock.run(1_500);
    expect(harness.granted).toContain(second!.ticket);
  });

  // Guards against a slot in use without a holder: a renewal delayed past the
  // return of its lease must not count as the announcement of a new lease.
  test("are not restored by a delayed renewal", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    harness.release(call!);
    expect(harness.owner.leaseCount).toBe(0);
    harness.release(call!, { state: "running" });
    expect(harness.owner.leaseCount).toBe(0);
  });

  // Guards against a grant to a finished request: an acquire call that is
  // delivered again after the lease's return must not count as a new ticket.
  test("are not granted to a repeated call of a closed ticket", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    harness.release(call!);
    const answer = await harness.owner.acquire(call!);
    expect(answer.kind).toBe("refused");
    expect(harness.owner.leaseCount).toBe(0);
  });

  test("are repeated when the answer was lost", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const call = buildCall("high");
    const first = await harness.owner.acquire(call);
    const second = await harness.owner.acquire(call);
    expect(second).toEqual(first);
    expect(harness.owner.leaseCount).toBe(1);
  });

  test("are released when their ticket is withdrawn", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [first, second, third] = await acquireMany(
      harness,
      3,
      () => buildCall("high"),
    );
    harness.owner.syncLeases({
      from: first!.from,
      shard: first!.shard,
      news: [],
      withdrawn: [first!.ticket, second!.ticket],
    });
    await harness.clock.run(1);
    expect(harness.granted).toEqual([first!.ticket, third!.ticket]);
  });
});

describe("takeover", () => {
  // Guards against granting slots twice: a new owner's ledger is empty until
  // the entry VMs have announced their running leases.
  test("grants nothing during the grace period", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH],
      skipGracePeriod: false,
    });
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    await harness.clock.run(1_500);
    expect(harness.granted).toEqual([]);
    await harness.clock.run(600);
    expect(harness.granted).toEqual([call!.ticket]);
  });

  test("adopts announced leases and grants only the remaining slots", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH],
      skipGracePeriod: false,
    });
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    const earlier = buildCall("high");
    const update = buildLeaseUpdate(earlier, {
      lease: toId("lease-of-the-old-owner"),
      upstream: toId("upstream-0"),
    });
    const sync = { from: earlier.from, shard: earlier.shard, withdrawn: [] };
    harness.owner.syncLeases({ ...sync, news: [update] });
    await harness.clock.run(3_000);
    expect(harness.granted).toEqual([]);
    harness.owner.syncLeases({ ...sync, news: [{ ...update, state: "done" }] });
    await harness.clock.run(1);
    expect(harness.granted).toEqual([call!.ticket]);
  });

  test("ends the grace period early once every entry VM has announced", async () => {
    const harness = await createOwnerHarness({
      classes: [HIGH],
      skipGracePeriod: false,
      holders: ["entry-0", "entry-1"],
    });
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    for (const vm of ["entry-0", "entry-1"]) {
      expect(harness.granted).toEqual([]);
      harness.owner.syncLeases({
        from: { vm: toId(vm), incarnation: toId("1") },
        shard: call!.shard,
        news: [],
        withdrawn: [],
      });
      await harness.clock.run(200);
    }
    expect(harness.granted).toEqual([call!.ticket]);
  });

  // Guards against two owners granting the same slot: while an owner's process
  // is paused, another one takes over, and the first resumes with an outdated
  // ledger.
  test("starts a new grace period after a pause", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    harness.clock.addClockJump(10_000);
    const [call] = await acquireMany(harness, 1, () => buildCall("high"));
    await harness.clock.run(1_500);
    expect(harness.granted).toEqual([]);
    await harness.clock.run(600);
    expect(harness.granted).toEqual([call!.ticket]);
  });

  test("keeps its leases after a pause until holders can renew them", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [held, waiting] = await acquireMany(
      harness,
      2,
      () => buildCall("high"),
    );
    harness.clock.addClockJump(10_000);
    await harness.clock.run(500);
    harness.release(held!, { state: "running" });
    await harness.clock.run(2_500);
    expect(harness.granted).not.toContain(waiting!.ticket);
  });

  test("hands over queue, leases and the waiters' ages", async () => {
    const old = await createOwnerHarness({ classes: [HIGH] });
    const [held, waiting] = await acquireMany(old, 2, () => buildCall("high"));
    await old.clock.run(1_000);
    old.release(held!, { state: "running" });
    const call = old.owner.buildHandOver();
    expect(call.waiters[0]!.ageMs).toBeGreaterThan(1_000);
    old.owner.stop();
    const next = await createOwnerHarness({
      classes: [HIGH],
      skipGracePeriod: false,
    });
    next.owner.applyHandOver(call);
    expect(next.owner.leaseCount).toBe(1);
    next.acquire(waiting!);
    next.owner.syncLeases({
      from: held!.from,
      shard: held!.shard,
      news: [{ ...old.leases.get(held!.ticket)!, state: "done" }],
      withdrawn: [],
    });
    await next.clock.run(1);
    expect(next.granted).toEqual([waiting!.ticket]);
  });
});

describe("upstream changes", () => {
  test("grants nothing on an upstream that is no longer listed", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH], replicas: 2 });
    harness.upstreams.splice(0, 1);
    harness.owner.onTopologyChange();
    await acquireMany(harness, 2, () => buildCall("high"));
    expect(harness.granted.length).toBe(1);
    const [update] = [...harness.leases.values()];
    expect(update!.upstream).toBe("upstream-1");
  });

  test("refuses waiters when the last upstream is no longer listed", async () => {
    const harness = await createOwnerHarness({ classes: [HIGH] });
    const [, waiting] = await acquireMany(harness, 2, () => buildCall("high"));
    harness.upstreams.splice(0, 1);
    harness.owner.onTopologyChange();
    await harness.clock.run(5_000);
    expect(harness.refused.get(waiting!.ticket)).toBe("no_upstream");
  });
});
