import { describe, expect, it } from "vitest";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { toId, type VmId } from "../../../src/ids.ts";
import {
  type RateLimitEntry,
  ReplicaRateLimits,
} from "../../../src/process/placement/replica_rate_limits.ts";
import type { PlacementRole } from "../../../src/process/placement/slow_start.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { buildListedReplica } from "../../support/listed_replicas.ts";

const REPLICA = buildListedReplica(1);
const OTHER_VM = toId<VmId>("vm-other");
const STEP_MS = 5;
/** Between two VMs' words to each other. */
const NEWS_EVERY_MS = 40;
/** A VM has a request for the replica so often, in the mean. */
const REQUEST_EVERY_MS = 100;
const WINDOW_MS = 4_000;
const FLOOD_MS = 40_000;

interface TestLimits {
  limits: ReplicaRateLimits;
  told: (number | undefined)[];
  note: (requestsPerS: number | undefined) => void;
}

function createLimits(
  clock: VirtualClock,
  fleet: Partial<PlacementRole & { heard: number }> = {},
): TestLimits {
  const told: (number | undefined)[] = [];
  const { role = "equal", others = [] } = fleet;
  const limits = ReplicaRateLimits.create({
    clock,
    onChange: (_replica, perS) => told.push(perS),
    getRole: () => ({ role, others }),
    countReachable: () => fleet.heard ?? others.length,
  });
  const note = (requestsPerS: number | undefined) =>
    limits.noteSignals(REPLICA.id, {
      requestsPerS,
      isLeaving: false,
      backOffMs: 0,
      unreadable: [],
    });
  return { limits, note, told };
}

function listVms(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => toId(`vm-${index}`));
}

/** How many requests may go out in `ms`, where there is always one to send. */
async function countSent(
  clock: VirtualClock,
  limits: ReplicaRateLimits,
  ms: number,
): Promise<number> {
  let sent = 0;
  for (let at = 0; at < ms; at += STEP_MS) {
    if (limits.hasRoom(REPLICA)) {
      limits.addSent(REPLICA);
      sent += 1;
    }
    await clock.run(STEP_MS);
  }
  return sent;
}

/** When VMs that tell each other of what they send sent to the replica. */
async function runFlood(
  vms: number,
  requestsPerS: number,
): Promise<number[]> {
  const clock = VirtualClock.create();
  const random = SeededRandom.create(vms);
  const names = listVms(vms);
  const all = names.map((vm) => {
    const others = names.filter((other) => other !== vm);
    return { vm, ...createLimits(clock, { others }) };
  });
  all.forEach(({ note }) => note(requestsPerS));
  const sentAt: number[] = [];
  for (let at = 0; at < FLOOD_MS; at += STEP_MS) {
    for (const { limits } of all) {
      if (random.next() > STEP_MS / REQUEST_EVERY_MS) continue;
      if (!limits.hasRoom(REPLICA)) continue;
      limits.addSent(REPLICA);
      sentAt.push(at);
    }
    if (at % NEWS_EVERY_MS === 0) {
      for (const { vm, limits } of all) {
        const news = limits.listUpdates();
        for (const other of all) {
          if (other.vm !== vm) other.limits.applyUpdates(vm, news);
        }
      }
    }
    await clock.run(STEP_MS);
  }
  return sentAt;
}

function countMost(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

describe("the limit of one replica", () => {
  it("follows its last word, and is told of as it begins and ends", () => {
    const { limits, note, told } = createLimits(VirtualClock.create());
    const getLimit = () => limits.getLimit(REPLICA.id);
    note(Infinity);
    expect(getLimit()).toBeUndefined();
    note(4);
    note(undefined);
    expect(getLimit()).toBe(4);
    note(3.5);
    expect(getLimit()).toBe(3.5);
    note(1);
    note(Infinity);
    expect(getLimit()).toBeUndefined();
    expect(told).toEqual([4, 1, undefined]);
  });

  it("is forgotten with the replica", () => {
    const { limits, note } = createLimits(VirtualClock.create());
    note(4);
    limits.dropUnlisted(() => false);
    expect(limits.getLimit(REPLICA.id)).toBeUndefined();
  });

  it("holds for one VM alone", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(4);
    const sent = await countSent(clock, limits, 10_000);
    expect(sent).toBeGreaterThanOrEqual(39);
    expect(sent).toBeLessThanOrEqual(42);
  });

  it("ends with an answer that names none", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    await countSent(clock, limits, 500);
    expect(limits.hasRoom(REPLICA)).toBe(false);
    await clock.run(1);
    note(Infinity);
    expect(await countSent(clock, limits, 1_000)).toBe(1_000 / STEP_MS);
  });

  // Guards against a replica that is never heard again.
  it("lets a request through now and then where it is 0", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(0);
    const sent = await countSent(clock, limits, 60_000);
    expect(sent).toBeGreaterThanOrEqual(3);
    expect(sent).toBeLessThanOrEqual(8);
  });
});

describe("the limit of a fleet", () => {
  for (const vms of [2, 8, 12]) {
    for (const requestsPerS of [2, 3.5, 20]) {
      it(`is kept and used by ${vms} VMs at ${requestsPerS} a second`, async () => {
        const sentAt = await runFlood(vms, requestsPerS);
        const most = 1.5 * requestsPerS * WINDOW_MS / 1_000 + 5;
        expect(countMost(sentAt)).toBeLessThanOrEqual(most);
        const whole = requestsPerS * FLOOD_MS / 1_000;
        const wanted = vms * FLOOD_MS / REQUEST_EVERY_MS;
        expect(sentAt.length).toBeGreaterThan(0.8 * Math.min(whole, wanted));
      });
    }
  }

  it("is known from another VM's answer, and ends by another's", async () => {
    const clock = VirtualClock.create();
    const first = createLimits(clock);
    const second = createLimits(clock);
    first.note(2);
    second.limits.applyUpdates(OTHER_VM, first.limits.listUpdates());
    expect(second.limits.getLimit(REPLICA.id)).toBe(2);
    await clock.run(10);
    first.note(Infinity);
    second.limits.applyUpdates(OTHER_VM, first.limits.listUpdates());
    expect(second.limits.getLimit(REPLICA.id)).toBeUndefined();
  });

  // Guards against an older word that comes late.
  it("follows the newest answer, whichever VM it came to", async () => {
    const clock = VirtualClock.create();
    const first = createLimits(clock);
    const second = createLimits(clock);
    first.note(2);
    await clock.run(10);
    second.note(Infinity);
    second.limits.applyUpdates(OTHER_VM, first.limits.listUpdates());
    expect(second.limits.getLimit(REPLICA.id)).toBeUndefined();
    second.note(5);
    await clock.run(10);
    second.limits.applyUpdates(OTHER_VM, first.limits.listUpdates());
    expect(second.limits.getLimit(REPLICA.id)).toBe(5);
  });

  it("counts a message that is lost or comes twice once", () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    const tell = (sent: number) => {
      const entry: RateLimitEntry = [REPLICA.id, -1, -1, sent];
      limits.applyUpdates(OTHER_VM, [entry]);
    };
    tell(3);
    tell(5);
    tell(5);
    expect(limits.computeWaitMs(REPLICA)).toBe(2_000);
    // A VM that has started again counts from the beginning.
    tell(1);
    expect(limits.computeWaitMs(REPLICA)).toBe(3_000);
  });

  it("is not told of where nothing is sent or heard", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    expect(limits.listUpdates()).toHaveLength(1);
    await clock.run(3_000);
    expect(limits.listUpdates()).toEqual([]);
  });

  it("is told of for a while once it has ended, and then no more", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    note(Infinity);
    expect(limits.listUpdates()).toEqual([[REPLICA.id, -1, 0, 0]]);
    await clock.run(3_000);
    note(Infinity);
    expect(limits.listUpdates()).toEqual([]);
  });

  it("is shared with VMs that are not heard", async () => {
    const clock = VirtualClock.create();
    const others = listVms(7);
    const { limits, note } = createLimits(clock, { others, heard: 1 });
    note(8);
    const sent = await countSent(clock, limits, 10_000);
    expect(sent).toBeGreaterThanOrEqual(19);
    expect(sent).toBeLessThanOrEqual(22);
  });

  it("is the owner's and its substitute's but for a part", async () => {
    const others = listVms(99);
    const sent: Record<string, number> = {};
    for (const role of ["owner", "alone", "unsettled"] as const) {
      const clock = VirtualClock.create();
      const { limits, note } = createLimits(clock, { role, others });
      note(100);
      sent[role] = await countSent(clock, limits, 10_000);
    }
    expect(sent["owner"]).toBeGreaterThan(700);
    const together = sent["owner"]! + others.length * sent["alone"]!;
    expect(together).toBeLessThanOrEqual(1_000 + others.length + 20);
    expect(sent["unsettled"]).toBe(0);
  });
});
