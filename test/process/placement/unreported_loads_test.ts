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

describe("load placed for another VM", () => {
  // Guards against requests that arrive at the same moment and wait at one
  // replica: several VMs request a placement before any of them has reported
  // its load again, and the owner counted reported loads only.
  it("counts from the answer on, and only once", () => {
    const loads = createLoads(VirtualClock.create());
    loads.unreported.add(VM, 1, { replica: REPLICA, load: LOAD });
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
    loads.unreported.settle(VM, 1, []);
    loads.putPeerLoads(VM, [[REPLICA, 900, 1, 0, 0]]);
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
  });

  it("still counts while the other VM has not received the answer", () => {
    const loads = createLoads(VirtualClock.create());
    loads.unreported.add(VM, 1, { replica: REPLICA, load: LOAD });
    loads.unreported.add(VM, 2, { replica: REPLICA, load: LOAD });
    loads.unreported.add(VM, 3, { replica: REPLICA, load: LOAD });
    loads.unreported.settle(VM, 2, [1]);
    expect(loads.getLoad(REPLICA).running).toBe(2);
  });

  it("expires when the other VM sends no more reports", async () => {
    const clock = VirtualClock.create();
    const loads = createLoads(clock);
    loads.unreported.add(VM, 1, { replica: REPLICA, load: LOAD });
    await clock.run(1_500);
    expect(loads.getLoad(REPLICA).running).toBe(0);
  });

  it("is not lost when reports of a third VM expire", async () => {
    const clock = VirtualClock.create();
    const loads = createLoads(clock);
    loads.putPeerLoads(toId("vm-2"), [[REPLICA, 100, 2, 1, 0]]);
    await clock.run(1_000);
    loads.putPeerLoads(VM, [[REPLICA, 900, 1, 0, 0]]);
    await clock.run(1_000);
    expect(loads.getLoad(REPLICA)).toEqual(LOAD);
  });
});
