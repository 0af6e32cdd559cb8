import { expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { ReplicaRateLimits } from "../../../src/process/placement/replica_rate_limits.ts";

const REPLICA = toId<VmId>("r-1");

function createLimits() {
  const told: (number | undefined)[] = [];
  const limits = ReplicaRateLimits.create((_replica, perS) => told.push(perS));
  const note = (requestsPerS: number | undefined) =>
    limits.noteSignals(REPLICA, { requestsPerS, unreadable: [] });
  return { limits, note, told };
}

it("goes by the replica's last word, and tells of its beginning and end", () => {
  const { limits, note, told } = createLimits();
  note(Infinity);
  expect(limits.getLimit(REPLICA)).toBeUndefined();
  note(4);
  note(undefined);
  expect(limits.getLimit(REPLICA)).toBe(4);
  note(3.5);
  expect(limits.getLimit(REPLICA)).toBe(3.5);
  note(1);
  note(Infinity);
  expect(limits.getLimit(REPLICA)).toBeUndefined();
  expect(told).toEqual([4, 1, undefined]);
});

it("forgets a replica that is not listed any more", () => {
  const { limits, note } = createLimits();
  note(4);
  limits.dropUnlisted(() => false);
  expect(limits.getLimit(REPLICA)).toBeUndefined();
});
