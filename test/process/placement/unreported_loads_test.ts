import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { PlacementState } from "../../../src/process/placement/index.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const REPLICA = toId<VmId>("replica-1");
const VM = toId<VmId>("vm-1");
const LOAD = {
  pendingTokens: 900,
  deferredTokens: 0,
  running: 1,
  interactive: 0,
};

function createLoads(clock: VirtualClock) {
  return PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  }).loads;
}

describe("work that was placed for another VM", () => {
  // Symptom: requests that come at the same moment wait at one replica.
  // Sequence: several VMs ask the owner before any of them has told of its
  // work again.
  // Cause: the owner counted only what VMs had told.
  it("counts from the answer on, and once", () => {
    const loads = createLoads(VirtualClock.create());
    loads.unreported.note(VM, 1, { replica: REPLICA, load: LOAD });
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
    loads.unreported.settle(VM, 1, []);
    loads.putPeer(VM, [[REPLICA, 900, 1, 0, 0]]);
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
  });

  it("counts on while the other VM has not seen the answer", () => {
    const loads = createLoads(VirtualClock.create());
    loads.unreported.note(VM, 1, { replica: REPLICA, load: LOAD });
    loads.unreported.note(VM, 2, { replica: REPLICA, load: LOAD });
    loads.unreported.note(VM, 3, { replica: REPLICA, load: LOAD });
    loads.unreported.settle(VM, 2, [1]);
    expect(loads.getLoad(REPLICA).running).toBe(2);
  });

  it("is forgotten when the other VM is never heard again", async () => {
    const clock = VirtualClock.create();
    const loads = createLoads(clock);
    loads.unreported.note(VM, 1, { replica: REPLICA, load: LOAD });
    await clock.run(1_500);
    expect(loads.getLoad(REPLICA).running).toBe(0);
  });

  it("is not lost when a third VM falls silent", async () => {
    const clock = VirtualClock.create();
    const loads = createLoads(clock);
    loads.putPeer(toId("vm-2"), [[REPLICA, 100, 2, 1, 0]]);
    await clock.run(1_000);
    loads.putPeer(VM, [[REPLICA, 900, 1, 0, 0]]);
    await clock.run(1_000);
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
  });
});
