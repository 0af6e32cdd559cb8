import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { BrittleReplicas } from "../../../src/process/placement/brittle_replicas.ts";
import { ReplicaLoads } from "../../../src/process/placement/replica_loads.ts";
import type { PlacementRole } from "../../../src/process/placement/index.ts";
import type { UpstreamSignals } from "../../../src/request/upstream_signals.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";
import { buildListedReplicas } from "../../support/listed_replicas.ts";

const VMS = ["vm-1", "vm-2", "vm-3"].map((name) => toId<VmId>(name));
const SLOTS = 4;
const REPLICAS = buildListedReplicas(5)
  .map((replica) => ({ ...replica, slots: SLOTS }));
const MAX_REJECTIONS_PER_S = 8;

function buildSignals(changes: Partial<UpstreamSignals> = {}): UpstreamSignals {
  return {
    requestsPerS: undefined,
    isLeaving: false,
    backOffMs: 0,
    isRejected: false,
    maxRejectionsPerS: MAX_REJECTIONS_PER_S,
    unreadable: [],
    ...changes,
  };
}

/** A VM that knows the first replica to be brittle. */
function createVm(
  vm: VmId,
  role: PlacementRole["role"] = "equal",
  maxRejectionsPerS = MAX_REJECTIONS_PER_S,
) {
  const clock = VirtualClock.create();
  const loads = ReplicaLoads.create(clock, () => {});
  const brittle = BrittleReplicas.create({
    vm,
    clock,
    loads,
    listReady: () => REPLICAS,
    getRole: () => ({ role, others: VMS.filter((other) => other !== vm) }),
    onChange: () => {},
  });
  brittle.noteSignals(REPLICAS[0]!.id, buildSignals({ maxRejectionsPerS }));
  return { clock, loads, brittle };
}

/** Requests that the VM may send to the replica while others send as many. */
function countAllowed(vm: ReturnType<typeof createVm>, index: number): number {
  const replica = REPLICAS[index]!;
  const work = { pendingTokens: 0, isInteractive: false };
  let count = 0;
  while (vm.brittle.hasCapacity(replica) && count < 50) {
    vm.loads.addOwn(replica.id, work);
    count += 1;
  }
  return count;
}

describe("while replicas of a pool are brittle", () => {
  it("all VMs together send no more than slots and a few", () => {
    const vms = VMS.map((vm) => createVm(vm));
    for (const index of REPLICAS.keys()) {
      const total = vms.map((vm) => countAllowed(vm, index))
        .reduce((sum, count) => sum + count, 0);
      expect(total).toBeGreaterThanOrEqual(SLOTS);
      expect(total).toBeLessThanOrEqual(SLOTS + MAX_REJECTIONS_PER_S / 4);
    }
  });

  it("each VM has as many slots as the others, give or take one", () => {
    const counts = VMS.map((each) => {
      const vm = createVm(each);
      vm.brittle.notePeers(
        REPLICAS.map(({ id }) => [id, 1, MAX_REJECTIONS_PER_S]),
      );
      return [...REPLICAS.keys()]
        .reduce((sum, index) => sum + countAllowed(vm, index), 0);
    });
    expect(Math.max(...counts) - Math.min(...counts)).toBeLessThanOrEqual(1);
    expect(counts.reduce((sum, count) => sum + count, 0))
      .toBe(SLOTS * REPLICAS.length);
  });

  // Guards against a replica that each VM asks as often as it bears it from all.
  it("rejections that other VMs had count", async () => {
    const vm = createVm(VMS[0]!);
    const { id } = REPLICAS[0]!;
    vm.brittle.noteSignals(id, buildSignals({ isRejected: true }));
    vm.brittle.notePeers([[id, 3, MAX_REJECTIONS_PER_S]]);
    expect(vm.brittle.hasCapacity(REPLICAS[0]!)).toBe(false);
    await vm.clock.run(1_100);
    expect(countAllowed(vm, 0)).toBeGreaterThan(0);
    expect(vm.brittle.takeUnsent()).toEqual([[id, 1, MAX_REJECTIONS_PER_S]]);
  });

  it("an owner sends no more than slots and a few", () => {
    const owner = createVm(VMS[0]!, "owner");
    expect(countAllowed(owner, 0)).toBe(SLOTS + MAX_REJECTIONS_PER_S / 4);
    owner.brittle.notePeers([[REPLICAS[1]!.id, 1, MAX_REJECTIONS_PER_S]]);
    expect(countAllowed(owner, 1)).toBe(SLOTS);
  });

  // Guards against a request too many a second for replicas that bear few.
  it("an owner sends none beyond the slots of replicas that bear three", () => {
    expect(countAllowed(createVm(VMS[0]!, "owner", 3), 0)).toBe(SLOTS);
  });

  // Guards against VMs that give away the slots which their owner has given away
  // while it was silent for a moment.
  it("VMs whose owner is silent send a few at most", () => {
    const total = VMS.map((vm) => countAllowed(createVm(vm, "alone"), 0))
      .reduce((sum, count) => sum + count, 0);
    expect(total).toBeLessThanOrEqual(MAX_REJECTIONS_PER_S / 4);
  });
});

// Guards against an owner that places requests as ever, because no answer of a
// brittle replica has come to itself.
it("a VM keeps to what the others heard of a replica, and to its end", async () => {
  const [replica] = REPLICAS;
  const heard = createVm(VMS[0]!);
  const owner = createVm(VMS[1]!, "owner");
  owner.brittle.noteSignals(
    replica!.id,
    buildSignals({ maxRejectionsPerS: undefined }),
  );
  owner.brittle.notePeers(heard.brittle.takeUnsent());
  expect(countAllowed(owner, 0)).toBe(SLOTS + MAX_REJECTIONS_PER_S / 4);
  await heard.clock.run(3_000);
  heard.brittle.noteSignals(replica!.id, buildSignals());
  expect(heard.brittle.takeUnsent())
    .toEqual([[replica!.id, 0, MAX_REJECTIONS_PER_S]]);
  const ended = buildSignals({ maxRejectionsPerS: undefined });
  heard.brittle.noteSignals(replica!.id, ended);
  owner.brittle.notePeers(heard.brittle.takeUnsent());
  expect(owner.brittle.isBrittle(replica!.id)).toBe(false);
});

it("nothing is limited once the answers no longer say so", () => {
  const vm = createVm(VMS[0]!);
  const signals = buildSignals({ maxRejectionsPerS: undefined });
  vm.brittle.noteSignals(REPLICAS[0]!.id, signals);
  expect(countAllowed(vm, 0)).toBe(50);
});
