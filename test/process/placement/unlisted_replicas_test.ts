import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { PlacementState } from "../../../src/process/placement/placement_state.ts";
import type { UpstreamSignals } from "../../../src/request/upstream_signals.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const REPLICA = toId<VmId>("i-1");
const SIGNALS: UpstreamSignals = {
  requestsPerS: 5,
  isLeaving: false,
  backOffMs: 3_000,
  isRejected: true,
  maxRejectionsPerS: 8,
  unreadable: [],
};

/** What a replica has asked for, as one VM keeps it. */
function createState() {
  const clock = VirtualClock.create();
  const state = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
  state.backOffs.noteSignals(REPLICA, SIGNALS);
  state.rateLimits.noteSignals(REPLICA, SIGNALS);
  state.brittle.noteSignals(REPLICA, SIGNALS);
  const listKept = () => ({
    backOff: state.backOffs.isBackingOff(REPLICA),
    limit: state.rateLimits.getLimit(REPLICA) !== undefined,
    brittle: state.brittle.isBrittle(REPLICA),
  });
  return { clock, state, listKept };
}

// Guards against VMs that forget what a replica asked for when its entry
// expires, although the replica goes on and its entry returns.
it("keeps what a replica asked for while its entry is away", async () => {
  const { clock, state, listKept } = createState();
  await clock.run(400);
  state.dropUnlisted(() => false);
  await clock.run(200);
  state.dropUnlisted(() => true);
  expect(listKept()).toEqual({ backOff: true, limit: true, brittle: true });
});

it("forgets a replica that stays away", async () => {
  const { clock, state, listKept } = createState();
  const { backOffs, rateLimits } = state;
  backOffs.noteSignals(REPLICA, { ...SIGNALS, backOffMs: 200_000 });
  rateLimits.noteSignals(REPLICA, SIGNALS);
  state.dropUnlisted(() => false);
  await clock.run(120_000);
  expect(listKept().backOff).toBe(true);
  state.dropUnlisted(() => false);
  expect(listKept()).toEqual({ backOff: false, limit: false, brittle: false });
});

it("forgets at once what a process asked for that was replaced", () => {
  const { state, listKept } = createState();
  state.dropReplica(REPLICA);
  expect(listKept()).toEqual({ backOff: false, limit: false, brittle: false });
});
