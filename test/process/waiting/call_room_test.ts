import { describe, expect, it } from "vitest";
import { computeMaxRunningShare } from "../../../src/process/waiting/call_room.ts";
import { WaitingPool } from "./waiting_pool.ts";

function computeShare(expectedMs: number): number {
  const pool = WaitingPool.create({ replicas: 1, slots: 4, serviceMs: 100 });
  const request = pool.buildRequest();
  const waiting = { ...request.waiting!, expectedMs };
  return computeMaxRunningShare({ ...request, waiting });
}

describe("computeMaxRunningShare", () => {
  it("leaves room for the calls that may have ended meanwhile", () => {
    expect(computeShare(100)).toBe(2);
    expect(computeShare(1_000)).toBe(1.1);
  });

  // Guards against replicas that are sent several times what they can run before
  // anybody knows how long such calls take.
  it("leaves none while the length of calls is unknown", () => {
    expect(computeShare(0)).toBe(1);
  });
});
