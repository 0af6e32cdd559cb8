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
/** Requests in any second beyond which a replica may fall over. */
const MOST_PER_S = EXCESS.ratio * WARM_UP.requestsPerS + EXCESS.slack;
const FLEET = listVms(89);
/** A flood: each VM has a request for the replica so often. */
const FLOOD_EVERY_MS = 20;
const FLOOD_MS = 2_900;

function listVms(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => toId(`vm-${index}`));
}

function buildReplica(changes: Partial<ListedReplica> = {}): ListedReplica {
  return buildListedReplica(1, changes);
}

function createStart(
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

/** The most requests in any second, if each VM sends whenever it may. */
async function countMostPerS(
  clock: VirtualClock,
  starts: readonly SlowStart[],
  replica: ListedReplica,
): Promise<{ most: number; all: number }> {
  const sentAt: number[] = [];
  for (let at = 0; at < FLOOD_MS; at += FLOOD_EVERY_MS) {
    for (const start of starts) {
      if (!start.hasRoom(replica)) continue;
      start.addSent(replica);
      sentAt.push(clock.now());
    }
    await clock.run(FLOOD_EVERY_MS);
  }
  const counts = sentAt.map((from) =>
    sentAt.filter((at) => at >= from && at < from + 1_000).length
  );
  return { most: Math.max(0, ...counts), all: sentAt.length };
}

// Symptom: replicas that came back two seconds ago fall over again, and the
// streams on them end by a reset.
// Sequence: a quarter of a pool crashes in a flood; they come back empty, and
// each gets sixteen requests or more in its first second.
// Cause: nobody counted what the fleet sends to a replica that warms up.
describe("a replica that warms up in a flood", () => {
  const warming = buildReplica({ warmUp: { leftMs: 3_000, revision: 7 } });

  it("gets no more than it bears from the owner of its pool", async () => {
    const clock = VirtualClock.create();
    const owner = createStart(clock, "vm-1", "owner");
    owner.noteList({ revision: 7, replicas: [warming] });
    const { most, all } = await countMostPerS(clock, [owner], warming);
    expect(most).toBeLessThanOrEqual(WARM_UP.requestsPerS);
    expect(all).toBeGreaterThan(10);
  });

  it("bears an owner, its substitute and all VMs that hear neither", async () => {
    const clock = VirtualClock.create();
    for (const id of ["i-1", "i-2", "i-3", "i-4", "i-5", "i-6"]) {
      const replica = { ...warming, id: toId<VmId>(id) };
      const starts = FLEET.map((vm, index) =>
        createStart(clock, vm, index < 2 ? "owner" : "alone")
      );
      starts.forEach((start) =>
        start.noteList({ revision: 7, replicas: [replica] })
      );
      const { most } = await countMostPerS(clock, starts, replica);
      expect(most).toBeLessThanOrEqual(MOST_PER_S);
    }
  });

  it("bears a fleet without owners", async () => {
    const clock = VirtualClock.create();
    const vms = listVms(8);
    const starts = vms.map((vm) => createStart(clock, vm, "equal", vms));
    starts.forEach((start) =>
      start.noteList({ revision: 7, replicas: [warming] })
    );
    const { most, all } = await countMostPerS(clock, starts, warming);
    expect(most).toBeLessThanOrEqual(MOST_PER_S);
    expect(all).toBeGreaterThan(0);
  });

  // Symptom: replicas and half of the VMs start at once, and the replicas fall
  // over.
  // Cause: each VM took itself for the only one until it heard the others.
  it("gets nothing from VMs that have not heard of the others", async () => {
    const clock = VirtualClock.create();
    const start = createStart(clock, "vm-1", "unsettled", []);
    start.noteList({ revision: 7, replicas: [warming] });
    expect((await countMostPerS(clock, [start], warming)).all).toBe(0);
  });

  it("is sent all that there is once it is warm", async () => {
    const clock = VirtualClock.create();
    const start = createStart(clock, "vm-1", "owner");
    start.noteList({ revision: 7, replicas: [warming] });
    await clock.run(3_000);
    expect(start.isWarming(warming)).toBe(false);
    expect(start.hasRoom(warming)).toBe(true);
  });
});

describe("what tells that a replica is cold", () => {
  it("is an entry once: the same one read again says nothing new", async () => {
    const clock = VirtualClock.create();
    const start = createStart(clock, "vm-1", "owner");
    const replica = buildReplica({ warmUp: { leftMs: 500, revision: 7 } });
    start.noteList({ revision: 7, replicas: [replica] });
    await clock.run(400);
    start.noteList({ revision: 8, replicas: [replica] });
    await clock.run(150);
    expect(start.isWarming(replica)).toBe(false);
  });

  // An entry is written each 1.2 s: a replica that crashed may be back, cold,
  // a second before its entry says so.
  it("is its failures, until it may have started and warmed up", async () => {
    const clock = VirtualClock.create();
    const start = createStart(clock, "vm-1", "owner");
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
    const start = createStart(clock, "vm-1", "owner");
    const replica = buildReplica();
    const other = buildReplica({ id: toId("i-2"), dataCentre: toId("dc-2") });
    const replicas = [replica, other];
    start.noteList({ revision: 7, replicas, evacuated: [toId("dc")] });
    start.noteList({ revision: 8, replicas, evacuated: [] });
    expect(start.isWarming(replica)).toBe(true);
    expect(start.isWarming(other)).toBe(false);
  });

  it("is nothing in a pool that needs no warm-up", () => {
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
    expect(start.hasRoom(replica)).toBe(true);
  });
});
