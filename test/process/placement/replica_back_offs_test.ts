import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { ReplicaBackOffs } from "../../../src/process/placement/replica_back_offs.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const REPLICA = toId<VmId>("i-1");

function createBackOffs() {
  const clock = VirtualClock.create();
  const logged: number[] = [];
  const backOffs = ReplicaBackOffs.create(clock, (_id, ms) => logged.push(ms));
  const note = (backOffMs: number) =>
    backOffs.noteSignals(REPLICA, {
      requestsPerS: undefined,
      isLeaving: false,
      backOffMs,
      isRejected: false,
      maxRejectionsPerS: undefined,
      unreadable: [],
    });
  return { clock, logged, backOffs, note };
}

it("backs off for the longest time that a replica asked for", async () => {
  const { clock, logged, backOffs, note } = createBackOffs();
  note(0);
  expect(backOffs.isBackingOff(REPLICA)).toBe(false);
  note(3_000);
  await clock.run(500);
  note(1_000);
  note(0);
  expect(backOffs.getRemainingMs(REPLICA)).toBe(2_500);
  expect(backOffs.list()).toEqual([REPLICA]);
  await clock.run(2_500);
  expect(backOffs.isBackingOff(REPLICA)).toBe(false);
  expect(logged).toEqual([3_000]);
});

it("forgets a replica that is no longer listed", () => {
  const { backOffs, note } = createBackOffs();
  note(3_000);
  backOffs.dropUnlisted(() => false);
  expect(backOffs.list()).toEqual([]);
});
