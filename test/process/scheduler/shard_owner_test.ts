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

/** Asks `count` times, each 1 ms after the one before. */
async function askMany(
  bench: OwnerHarness,
  count: number,
  build: (index: number) => AcquireCall,
): Promise<AcquireCall[]> {
  const calls: AcquireCall[] = [];
  for (let index = 0; index < count; index++) {
    calls.push(bench.acquire(build(index)));
    await bench.clock.run(1);
  }
  return calls;
}

describe("granting", () => {
  test("grants a free slot at once and the next when it is returned", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [first, second] = await askMany(bench, 2, () => buildCall("high"));
    expect(bench.granted).toEqual([first!.ticket]);
    bench.release(first!);
    await bench.clock.run(1);
    expect(bench.granted).toEqual([first!.ticket, second!.ticket]);
  });

  test("grants by tier, whatever came first", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH, LOW] });
    const [running, low] = await askMany(bench, 2, () => buildCall("low"));
    const [high] = await askMany(bench, 1, () => buildCall("high"));
    bench.release(running!);
    await bench.clock.run(1);
    bench.release(high!);
    await bench.clock.run(1);
    expect(bench.granted).toEqual([
      running!.ticket,
      high!.ticket,
      low!.ticket,
    ]);
  });

  test("answers queued when the hold is over, and keeps the place", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [running] = await askMany(bench, 1, () => buildCall("high"));
    const call = buildCall("high", { holdMs: 500, deadlineInMs: 5_000 });
    const held = bench.owner.acquire(call);
    await bench.clock.run(10);
    const [later] = await askMany(
      bench,
      1,
      () => buildCall("high", { deadlineInMs: 5_000 }),
    );
    await bench.clock.run(500);
    expect((await held).kind).toBe("queued");
    bench.acquire({ ...call, ageMs: 510, deadlineInMs: 4_490 });
    await bench.clock.run(10);
    bench.release(running!);
    await bench.clock.run(1);
    expect(bench.granted).toEqual([running!.ticket, call.ticket]);
    expect(bench.granted).not.toContain(later!.ticket);
  });

  test("drops a ticket that does not come back", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    await askMany(bench, 1, () => buildCall("high"));
    bench.acquire(buildCall("high", { holdMs: 500 }));
    await bench.clock.run(400);
    expect(bench.owner.waitingCount).toBe(1);
    await bench.clock.run(2_300);
    expect(bench.owner.waitingCount).toBe(0);
  });
});

describe("tiers at shedding", () => {
  // Symptom: a high-tier request is shed while low ones wait. Sequence: low
  // requests fill the queue, then high ones come. Cause: shedding whatever
  // came last.
  test("sheds low waiters to make room for high ones", async () => {
    const bench = await createOwnerHarness({
      classes: [HIGH, LOW],
      queueBound: 3,
    });
    const lows = await askMany(bench, 5, () => buildCall("low"));
    const highs = await askMany(bench, 4, () => buildCall("high"));
    for (const high of highs) {
      expect(bench.refused.has(high.ticket)).toBe(false);
    }
    const shed = lows.filter((low) => bench.refused.has(low.ticket));
    expect(shed.length).toBeGreaterThan(0);
    for (const low of shed) {
      expect(bench.refused.get(low.ticket)).toBe("shed");
    }
  });

  test("passes a victim on to a shard that serves a lower tier", async () => {
    const bench = await createOwnerHarness({
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
    await askMany(bench, 3, () => buildCall("high"));
    const call = buildCall("high");
    const answer = await bench.owner.acquire(call);
    expect(answer).toEqual({ kind: "pass_on", shard: "pool/1" });
    // Sent back here, it is not passed round for ever.
    const again = await bench.owner.acquire(call);
    expect(again.kind).toBe("refused");
  });
});

describe("progress", () => {
  // Symptom: a low class waits for ever. Sequence: a high tier floods the
  // queue for minutes. Cause: strict tiers alone never reach the low class.
  test("grants the head of a low class within its bound", async () => {
    const low = buildClass("low", { tier: toId("bronze"), maxWaitMs: 4_000 });
    const bench = await createOwnerHarness({ classes: [HIGH, low] });
    const calls = await askMany(bench, 400, () => buildCall("high"));
    const [waiting] = await askMany(bench, 1, () => buildCall("low"));
    calls.push(waiting!);
    await runSlots(bench, { ms: 4_000, holdMs: 100, calls });
    expect(bench.granted).toContain(waiting!.ticket);
    const high = calls.filter((call) => call.className === "high");
    expect(high.some((call) => !bench.granted.includes(call.ticket)))
      .toBe(true);
  });

  test("never lets low classes take more than half of the slots early", async () => {
    const low = buildClass("low", { tier: toId("bronze"), maxWaitMs: 200 });
    const bench = await createOwnerHarness({
      classes: [HIGH, low],
      pool: buildPool({ slots: { initial: 4, min: 4, max: 4 } }),
    });
    const running = await askMany(bench, 4, () => buildCall("high"));
    await askMany(bench, 20, () => buildCall("high"));
    const lows = await askMany(bench, 20, () => buildCall("low"));
    for (const call of running) {
      await bench.clock.run(300);
      bench.release(call);
    }
    await bench.clock.run(300);
    const granted = lows.filter((call) => bench.granted.includes(call.ticket));
    expect(granted.length).toBe(2);
  });
});

describe("fair share", () => {
  test("serves a light workspace in the middle of another's burst", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const calls = await askMany(
      bench,
      100,
      () => buildCall("high", { workspace: toId("heavy") }),
    );
    const light = await askMany(
      bench,
      5,
      () => buildCall("high", { workspace: toId("light") }),
    );
    calls.push(...light);
    await runSlots(bench, { ms: 1_500, holdMs: 90, calls });
    for (const call of light) expect(bench.granted).toContain(call.ticket);
  });

  test("shares by weight", async () => {
    const bench = await createOwnerHarness({
      classes: [HIGH],
      weights: { three: 3, one: 1 },
    });
    const calls = await askMany(
      bench,
      200,
      (index) =>
        buildCall("high", { workspace: toId(index % 2 ? "three" : "one") }),
    );
    await runSlots(bench, { ms: 8_000, holdMs: 90, calls });
    const three = calls.filter((call) =>
      call.workspace === toId("three") && bench.granted.includes(call.ticket)
    );
    const share = three.length / bench.granted.length;
    expect(share).toBeGreaterThan(0.68);
    expect(share).toBeLessThan(0.82);
  });
});

describe("crowding", () => {
  test("bounds a class's queue, and takes the burst's last for others", async () => {
    const small = buildClass("small", { queueLimit: 5 });
    const bench = await createOwnerHarness({ classes: [small] });
    const burst = await askMany(
      bench,
      10,
      () => buildCall("small", { workspace: toId("heavy") }),
    );
    expect(bench.owner.waitingCount).toBe(5);
    expect(bench.refused.get(burst[9]!.ticket)).toBe("queue_full");
    const [light] = await askMany(
      bench,
      1,
      () => buildCall("small", { workspace: toId("light") }),
    );
    expect(bench.refused.has(light!.ticket)).toBe(false);
    expect(bench.refused.get(burst[5]!.ticket)).toBe("queue_full");
    expect(bench.owner.waitingCount).toBe(5);
  });

  test("keeps a tier below its cap of slots", async () => {
    const bench = await createOwnerHarness({
      classes: [HIGH, LOW],
      pool: buildPool({ slots: { initial: 4, min: 4, max: 4 } }),
      slotShares: { bronze: 0.5 },
    });
    await askMany(bench, 4, () => buildCall("low"));
    expect(bench.granted.length).toBe(2);
    await askMany(bench, 2, () => buildCall("high"));
    expect(bench.granted.length).toBe(4);
  });

  test("keeps the last slots from long work", async () => {
    const short = buildClass("short", { maxOutputTokens: 10 });
    const long = buildClass("long", { maxOutputTokens: 100_000 });
    long.targets.totalMs = 600_000;
    const bench = await createOwnerHarness({
      classes: [short, long],
      pool: buildPool({ slots: { initial: 8, min: 8, max: 8 } }),
    });
    const shorts = await askMany(bench, 40, () => buildCall("short"));
    await runSlots(bench, { ms: 3_000, holdMs: 50, calls: shorts });
    const longs = await askMany(
      bench,
      12,
      () => buildCall("long", { maxTokens: 100_000, deadlineInMs: 600_000 }),
    );
    const held = longs.filter((call) => bench.granted.includes(call.ticket));
    expect(held.length).toBe(7);
    const [quick] = await askMany(bench, 1, () => buildCall("short"));
    expect(bench.granted).toContain(quick!.ticket);
  });
});

describe("leases", () => {
  // Symptom: a slot stays in use for ever. Sequence: the holder's VM dies
  // after the grant. Cause: nobody returns the lease.
  test("expire when they are not renewed", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [, second] = await askMany(bench, 2, () => buildCall("high"));
    await bench.clock.run(2_000);
    expect(bench.granted.length).toBe(1);
    await bench.clock.run(1_500);
    expect(bench.granted).toContain(second!.ticket);
  });

  // Symptom: a slot is in use that nobody holds. Sequence: a return comes,
  // then a delayed renewal of the same lease. Cause: the renewal is taken for
  // the announcement of an unknown lease.
  test("do not come back by a late renewal", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    bench.release(call!);
    expect(bench.owner.leaseCount).toBe(0);
    bench.release(call!, { state: "running" });
    expect(bench.owner.leaseCount).toBe(0);
  });

  // Symptom: a slot is granted to a request that has ended. Sequence: an
  // acquire call is delivered twice, the second time after the return. Cause:
  // the repeat is taken for a new ticket.
  test("are not granted to a late repeat of a closed ticket", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    bench.release(call!);
    const answer = await bench.owner.acquire(call!);
    expect(answer.kind).toBe("refused");
    expect(bench.owner.leaseCount).toBe(0);
  });

  test("are told again when the answer was lost", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const call = buildCall("high");
    const first = await bench.owner.acquire(call);
    const second = await bench.owner.acquire(call);
    expect(second).toEqual(first);
    expect(bench.owner.leaseCount).toBe(1);
  });

  test("are given up with the ticket that is withdrawn", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [first, second, third] = await askMany(
      bench,
      3,
      () => buildCall("high"),
    );
    bench.owner.syncLeases({
      from: first!.from,
      shard: first!.shard,
      news: [],
      withdrawn: [first!.ticket, second!.ticket],
    });
    await bench.clock.run(1);
    expect(bench.granted).toEqual([first!.ticket, third!.ticket]);
  });
});

describe("takeover", () => {
  // Symptom: a replica has twice its slots. Sequence: an owner is lost, the
  // next one grants before the entry VMs have named their running leases.
  // Cause: an empty ledger is taken for free slots.
  test("grants nothing before it has settled", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH], settle: false });
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    await bench.clock.run(1_500);
    expect(bench.granted).toEqual([]);
    await bench.clock.run(600);
    expect(bench.granted).toEqual([call!.ticket]);
  });

  test("adopts announced leases, and grants only what they leave", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH], settle: false });
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    const earlier = buildCall("high");
    const news = buildLeaseUpdate(earlier, {
      lease: toId("lease-of-the-old-owner"),
      upstream: toId("upstream-0"),
    });
    const sync = { from: earlier.from, shard: earlier.shard, withdrawn: [] };
    bench.owner.syncLeases({ ...sync, news: [news] });
    await bench.clock.run(3_000);
    expect(bench.granted).toEqual([]);
    bench.owner.syncLeases({ ...sync, news: [{ ...news, state: "done" }] });
    await bench.clock.run(1);
    expect(bench.granted).toEqual([call!.ticket]);
  });

  test("settles early once every entry VM has announced", async () => {
    const bench = await createOwnerHarness({
      classes: [HIGH],
      settle: false,
      holders: ["entry-0", "entry-1"],
    });
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    for (const vm of ["entry-0", "entry-1"]) {
      expect(bench.granted).toEqual([]);
      bench.owner.syncLeases({
        from: { vm: toId(vm), incarnation: toId("1") },
        shard: call!.shard,
        news: [],
        withdrawn: [],
      });
      await bench.clock.run(200);
    }
    expect(bench.granted).toEqual([call!.ticket]);
  });

  // Symptom: two owners grant the same slot. Sequence: an owner is stopped,
  // another takes over, the first is continued. Cause: it goes on granting
  // from a ledger of long ago.
  test("settles anew after a pause", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    bench.clock.addClockJump(10_000);
    const [call] = await askMany(bench, 1, () => buildCall("high"));
    await bench.clock.run(1_500);
    expect(bench.granted).toEqual([]);
    await bench.clock.run(600);
    expect(bench.granted).toEqual([call!.ticket]);
  });

  test("keeps its leases over a pause until holders could renew", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [held, waiting] = await askMany(bench, 2, () => buildCall("high"));
    bench.clock.addClockJump(10_000);
    await bench.clock.run(500);
    bench.release(held!, { state: "running" });
    await bench.clock.run(2_500);
    expect(bench.granted).not.toContain(waiting!.ticket);
  });

  test("hands queue and ledger over with the waiters' ages", async () => {
    const old = await createOwnerHarness({ classes: [HIGH] });
    const [held, waiting] = await askMany(old, 2, () => buildCall("high"));
    await old.clock.run(1_000);
    old.release(held!, { state: "running" });
    const call = old.owner.buildHandOver();
    expect(call.waiters[0]!.ageMs).toBeGreaterThan(1_000);
    old.owner.stop();
    const next = await createOwnerHarness({ classes: [HIGH], settle: false });
    next.owner.takeHandOver(call);
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

describe("upstreams", () => {
  test("that leave by the list get nothing new", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH], replicas: 2 });
    bench.upstreams.splice(0, 1);
    bench.owner.onTopologyChange();
    await askMany(bench, 2, () => buildCall("high"));
    expect(bench.granted.length).toBe(1);
    const [news] = [...bench.leases.values()];
    expect(news!.upstream).toBe("upstream-1");
  });

  test("that went away altogether refuse the waiters in time", async () => {
    const bench = await createOwnerHarness({ classes: [HIGH] });
    const [, waiting] = await askMany(bench, 2, () => buildCall("high"));
    bench.upstreams.splice(0, 1);
    bench.owner.onTopologyChange();
    await bench.clock.run(5_000);
    expect(bench.refused.get(waiting!.ticket)).toBe("no_upstream");
  });
});
