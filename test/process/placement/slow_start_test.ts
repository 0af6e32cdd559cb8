import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/index.ts";
import {
  type PlacementRole,
  SlowStart,
} from "../../../src/process/placement/slow_start.ts";
import { buildListedReplica } from "../../support/listed_replicas.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const WARM_UP = { ms: 3_000, requestsPerS: 6 };
const EXCESS = { ratio: 1.5, slack: 5 };
/** Requests in any second beyond which a replica may crash. */
const MAX_PER_S = EXCESS.ratio * WARM_UP.requestsPerS + EXCESS.slack;
const FLEET = listVms(89);
/** Interval at which each VM has a request for the replica. */
const REQUEST_INTERVAL_MS = 20;
const OVERLOAD_MS = 2_900;

function listVms(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => toId(`vm-${index}`));
}

function buildReplica(changes: Partial<ListedReplica> = {}): ListedReplica {
  return buildListedReplica(1, changes);
}

function createSlowStart(
  clock: VirtualClock,
  vm: string,
  role: PlacementRole["role"],
  vms: readonly VmId[] = FLEET,
): SlowStart {
  return SlowStart.create({
    vm: toId(vm),
    clock,
    excess: EXCESS,
    getWarmUp: () => WARM_UP,
    getRole: () => ({ role, others: vms.filter((other) => other !== vm) }),
  });
}

/**
 * Largest number of requests in any second, if each VM sends whenever it may.
 */
async function countMaxPerS(
  clock: VirtualClock,
  starts: readonly SlowStart[],
  replica: ListedReplica,
): Promise<{ max: number; all: number }> {
  const sentAt: number[] = [];
  for (let at = 0; at < OVERLOAD_MS; at += REQUEST_INTERVAL_MS) {
    for (const start of starts) {
      if (!start.hasCapacity(replica)) continue;
      start.addSent(replica);
      sentAt.push(clock.now());
    }
    await clock.run(REQUEST_INTERVAL_MS);
  }
  const counts = sentAt.map((from) =>
    sentAt.filter((at) => at >= from && at < from + 1_000).length
  );
  return { max: Math.max(0, ...counts), all: sentAt.length };
}

// Guards against replicas that crash again two seconds after they came back
// under load, which resets the streams on them. They come back empty, and
// without a limit for the whole fleet each gets sixteen requests or more in its
// first second.
describe("a replica that warms up under overload", () => {
  const warming = buildReplica({ warmUp: { leftMs: 3_000, revision: 7 } });

  it("gets no more than it sustains from the owner of its pool", async () => {
    const clock = VirtualClock.create();
    const owner = createSlowStart(clock, "vm-1", "owner");
    owner.noteList({ revision: 7, replicas: [warming] });
    const { max, all } = await countMaxPerS(clock, [owner], warming);
    expect(max).toBeLessThanOrEqual(WARM_UP.requestsPerS);
    expect(all).toBeGreaterThan(10);
  });

  it("sustains an owner, its substitute and all VMs that reach neither", async () => {
    const clock = VirtualClock.create();
    for (const id of ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]) {
      const replica = { ...warming, id: toId<VmId>(id) };
      const starts = FLEET.map((vm, index) =>
        createSlowStart(clock, vm, index < 2 ? "owner" : "alone")
      );
      starts.forEach((start) =>
        start.noteList({ revision: 7, replicas: [replica] })
      );
      const { max } = await countMaxPerS(clock, starts, replica);
      expect(max).toBeLessThanOrEqual(MAX_PER_S);
    }
  });

  it("sustains a fleet without owners", async () => {
    const clock = VirtualClock.create();
    const vms = listVms(8);
    const starts = vms.map((vm) => createSlowStart(clock, vm, "equal", vms));
    starts.forEach((start) =>
      start.noteList({ revision: 7, replicas: [warming] })
    );
    const { max, all } = await countMaxPerS(clock, starts, warming);
    expect(max).toBeLessThanOrEqual(MAX_PER_S);
    expect(all).toBeGreaterThan(0);
  });

  // Guards against replicas that crash when they start together with half of
  // the VMs: each VM took itself for the only one until it had discovered the
  // others.
  it("gets nothing from VMs that have not discovered the others", async () => {
    const clock = VirtualClock.create();
    const start = createSlowStart(clock, "vm-1", "unsettled", []);
    start.noteList({ revision: 7, replicas: [warming] });
    expect((await countMaxPerS(clock, [start], warming)).all).toBe(0);
  });

  it("gets any number of requests once it is warm", async () => {
    const clock = VirtualClock.create();
    const start = createSlowStart(clock, "vm-1", "owner");
    start.noteList({ revision: 7, replicas: [warming] });
    await clock.run(3_000);
    expect(start.isWarming(warming)).toBe(false);
    expect(start.hasCapacity(warming)).toBe(true);
  });
});

describe("the sign that a replica is cold", () => {
  it("is a new entry, but not the same one read again", async () => {
    const clock = VirtualClock.create();
    const start = createSlowStart(clock, "vm-1", "owner");
    const replica = buildReplica({ warmUp: { leftMs: 500, revision: 7 } });
    start.noteList({ revision: 7, replicas: [replica] });
    await clock.run(400);
    start.noteList({ revision: 8, replicas: [replica] });
    await clock.run(150);
    expect(start.isWarming(replica)).toBe(false);
  });

  // An entry is written every 1.2 s: a crashed replica may be back, cold, a
  // second before its entry shows it.
  it("is its failures, until it may have restarted and warmed up", async () => {
    const clock = VirtualClock.create();
    const start = createSlowStart(clock, "vm-1", "owner");
    const replica = buildReplica();
    start.noteList({ revision: 7, replicas: [replica] });
    start.noteFailing(replica.id, 500);
    await clock.run(3_400);
    expect(start.isWarming(replica)).toBe(true);
    await clock.run(200);
    expect(start.isWarming(replica)).toBe(false);
  });

  it("is the end of its data centre's evacuation", () => {
    const clock = VirtualClock.create();
    const start = createSlowStart(clock, "vm-1", "owner");
    const replica = buildReplica();
    const other = buildReplica({ id: toId("i-2"), dataCentre: toId("dc-2") });
    const replicas = [replica, other];
    start.noteList({ revision: 7, replicas, evacuated: [toId("dc")] });
    start.noteList({ revision: 8, replicas, evacuated: [] });
    expect(start.isWarming(replica)).toBe(true);
    expect(start.isWarming(other)).toBe(false);
  });

  it("is ignored in a pool that needs no warm-up", () => {
    const clock = VirtualClock.create();
    const start = SlowStart.create({
      vm: toId("vm-1"),
      clock,
      excess: EXCESS,
      getWarmUp: () => undefined,
      getRole: () => ({ role: "owner", others: [] }),
    });
    const replica = buildReplica({ warmUp: { leftMs: 500, revision: 7 } });
    start.noteList({ revision: 7, replicas: [replica] });
    expect(start.hasCapacity(replica)).toBe(true);
  });
});
