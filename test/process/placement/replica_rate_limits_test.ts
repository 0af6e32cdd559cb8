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
/** Interval between updates from one VM to another. */
const UPDATE_INTERVAL_MS = 40;
/** Mean interval at which a VM has a request for the replica. */
const MEAN_REQUEST_INTERVAL_MS = 100;
const WINDOW_MS = 4_000;
const OVERLOAD_MS = 40_000;

interface TestLimits {
  limits: ReplicaRateLimits;
  logged: (number | undefined)[];
  note: (requestsPerS: number | undefined) => void;
}

function createLimits(
  clock: VirtualClock,
  fleet: Partial<PlacementRole & { reachable: number }> = {},
): TestLimits {
  const logged: (number | undefined)[] = [];
  const { role = "equal", others = [] } = fleet;
  const limits = ReplicaRateLimits.create({
    clock,
    onChange: (_replica, perS) => logged.push(perS),
    getRole: () => ({ role, others }),
    countReachable: () => fleet.reachable ?? others.length,
  });
  const note = (requestsPerS: number | undefined) =>
    limits.noteSignals(REPLICA.id, {
      requestsPerS,
      isLeaving: false,
      backOffMs: 0,
      isRejected: false,
      maxRejectionsPerS: undefined,
      unreadable: [],
    });
  return { limits, note, logged };
}

function listVms(count: number): VmId[] {
  return Array.from({ length: count }, (_, index) => toId(`vm-${index}`));
}

/** Number of requests that may be sent in `ms`, with one always waiting. */
async function countSent(
  clock: VirtualClock,
  limits: ReplicaRateLimits,
  ms: number,
): Promise<number> {
  let sent = 0;
  for (let at = 0; at < ms; at += STEP_MS) {
    if (limits.hasCapacity(REPLICA)) {
      limits.addSent(REPLICA);
      sent += 1;
    }
    await clock.run(STEP_MS);
  }
  return sent;
}

/** Times at which VMs that update each other sent requests to the replica. */
async function runOverload(
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
  for (let at = 0; at < OVERLOAD_MS; at += STEP_MS) {
    for (const { limits } of all) {
      if (random.next() > STEP_MS / MEAN_REQUEST_INTERVAL_MS) continue;
      if (!limits.hasCapacity(REPLICA)) continue;
      limits.addSent(REPLICA);
      sentAt.push(at);
    }
    if (at % UPDATE_INTERVAL_MS === 0) {
      for (const { vm, limits } of all) {
        const updates = limits.listUpdates();
        for (const other of all) {
          if (other.vm !== vm) other.limits.applyUpdates(vm, updates);
        }
      }
    }
    await clock.run(STEP_MS);
  }
  return sentAt;
}

function countMax(times: readonly number[]): number {
  const counts = times.map((from) =>
    times.filter((at) => at >= from && at < from + WINDOW_MS).length
  );
  return Math.max(0, ...counts);
}

describe("the rate limit of one replica", () => {
  it("follows its last answer, and is logged as it begins and ends", () => {
    const { limits, note, logged } = createLimits(VirtualClock.create());
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
    expect(logged).toEqual([4, 1, undefined]);
  });

  it("is forgotten with the replica", () => {
    const { limits, note } = createLimits(VirtualClock.create());
    note(4);
    limits.dropUnlisted(() => false);
    expect(limits.getLimit(REPLICA.id)).toBeUndefined();
  });

  it("applies to a single VM", async () => {
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
    expect(limits.hasCapacity(REPLICA)).toBe(false);
    await clock.run(1);
    note(Infinity);
    expect(await countSent(clock, limits, 1_000)).toBe(1_000 / STEP_MS);
  });

  // Otherwise no further answer of the replica would ever arrive.
  it("still admits a request now and then where it is 0", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(0);
    const sent = await countSent(clock, limits, 60_000);
    expect(sent).toBeGreaterThanOrEqual(3);
    expect(sent).toBeLessThanOrEqual(8);
  });
});

describe("the rate limit of a fleet", () => {
  for (const vms of [2, 8, 12]) {
    for (const requestsPerS of [2, 3.5, 20]) {
      it(`is kept and used by ${vms} VMs at ${requestsPerS} a second`, async () => {
        const sentAt = await runOverload(vms, requestsPerS);
        const max = 1.5 * requestsPerS * WINDOW_MS / 1_000 + 5;
        expect(countMax(sentAt)).toBeLessThanOrEqual(max);
        const whole = requestsPerS * OVERLOAD_MS / 1_000;
        const wanted = vms * OVERLOAD_MS / MEAN_REQUEST_INTERVAL_MS;
        expect(sentAt.length).toBeGreaterThan(0.8 * Math.min(whole, wanted));
      });
    }
  }

  it("begins and ends with answers to another VM", async () => {
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

  // Guards against an older answer that is reported late.
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

  it("tolerates lost and repeated messages", () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    const applyReport = (sent: number) => {
      const entry: RateLimitEntry = [REPLICA.id, -1, -1, sent];
      limits.applyUpdates(OTHER_VM, [entry]);
    };
    applyReport(3);
    applyReport(5);
    applyReport(5);
    expect(limits.computeWaitMs(REPLICA)).toBe(2_000);
    // A VM that has restarted counts from 0.
    applyReport(1);
    expect(limits.computeWaitMs(REPLICA)).toBe(3_000);
  });

  it("is not reported without requests or answers", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    expect(limits.listUpdates()).toHaveLength(1);
    await clock.run(3_000);
    expect(limits.listUpdates()).toEqual([]);
  });

  it("is reported for a while after it has ended, and then no more", async () => {
    const clock = VirtualClock.create();
    const { limits, note } = createLimits(clock);
    note(1);
    note(Infinity);
    expect(limits.listUpdates()).toEqual([[REPLICA.id, -1, 0, 0]]);
    await clock.run(3_000);
    note(Infinity);
    expect(limits.listUpdates()).toEqual([]);
  });

  it("is shared with VMs that are unreachable", async () => {
    const clock = VirtualClock.create();
    const others = listVms(7);
    const { limits, note } = createLimits(clock, { others, reachable: 1 });
    note(8);
    const sent = await countSent(clock, limits, 10_000);
    expect(sent).toBeGreaterThanOrEqual(19);
    expect(sent).toBeLessThanOrEqual(22);
  });

  it("belongs to the owner except for the share of isolated VMs", async () => {
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
