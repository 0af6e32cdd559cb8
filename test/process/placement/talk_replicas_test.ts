import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/replica_list.ts";
import { computeTalkSplit } from "../../../src/process/placement/talk_replicas.ts";

const SLOTS = 64;
/** As many talks as one replica is kept for: four tenths of its slots. */
const TALKS_OF_ONE = 25;

function buildLoaded(talking: number[], readingShare = 0) {
  return talking.map((each, index) => ({
    replica: {
      id: toId<VmId>(`i-${index}`),
      pool: toId<ListedReplica["pool"]>("pool"),
      address: "10.0.0.1",
      port: 80,
      dataCentre: toId<ListedReplica["dataCentre"]>("dc"),
      slots: SLOTS,
      state: "ready" as const,
    },
    load: { pendingTokens: 0, running: each, talking: each },
    readingShare,
  }));
}

// The load: long prompts are read without a pause on every replica of a pool,
// and talks of some hundred tokens run beside them.
// Symptom: talks begin in time and then pause for longer than their callers
// accept; the longest do not end before their deadline.
// Cause: each token waits for a chunk of somebody's prompt.
describe("replicas for talks", () => {
  it("are none where nothing talks, and in pools too small to split", () => {
    expect(computeTalkSplit(buildLoaded([0, 0, 0, 0, 0])).forTalks.size).toBe(
      0,
    );
    expect(computeTalkSplit(buildLoaded([3, 0, 0])).forTalks.size).toBe(0);
  });

  it("are those where most talk already", () => {
    const split = computeTalkSplit(buildLoaded([0, 2, 9, 0, 0, 0]));
    expect([...split.forTalks]).toEqual(["i-2"]);
    expect([...split.notForLong]).toEqual(["i-2"]);
  });

  it("grow with the talks, up to half of the pool", () => {
    for (const replicas of [1, 2, 3]) {
      const talks = [TALKS_OF_ONE * replicas, 0, 0, 0, 0, 0];
      expect(computeTalkSplit(buildLoaded(talks)).forTalks.size).toBe(replicas);
    }
    const split = computeTalkSplit(buildLoaded([60, 60, 60, 60, 60, 60]));
    expect(split.forTalks.size).toBe(3);
  });

  it("are as few as hold the talks where long prompts need the others", () => {
    const talks = [2 * TALKS_OF_ONE - 1, 0, 0, 0, 0, 0];
    const count = (shareOfOthers: number) => {
      const loaded = buildLoaded(talks, shareOfOthers);
      loaded[0]!.readingShare = 0.1;
      return computeTalkSplit(loaded).forTalks.size;
    };
    expect(count(0.1)).toBe(2);
    expect(count(0.9)).toBe(1);
  });

  // Symptom: in a burst of talks they pause beside each other's prompts.
  // Cause: their replica had slots left, and no time.
  it("are more where the talks' own prompts keep one busy", () => {
    const loaded = buildLoaded([2 * TALKS_OF_ONE - 1, 0, 0, 0, 0, 0], 0.9);
    expect(computeTalkSplit(loaded).forTalks.size).toBe(2);
  });

  it("take no long prompt before their talks have ended", () => {
    const split = computeTalkSplit(buildLoaded([14, 9, 2, 0, 0, 0]));
    expect([...split.forTalks]).toEqual(["i-0"]);
    expect([...split.notForLong]).toEqual(["i-0", "i-1"]);
  });

  it("are those that read least where more are needed", () => {
    const loaded = buildLoaded([TALKS_OF_ONE + 1, 0, 0, 0, 0, 0]);
    loaded.forEach((each) => each.readingShare = 0.35);
    loaded[4]!.readingShare = 0.1;
    loaded[0]!.readingShare = 0;
    expect([...computeTalkSplit(loaded).forTalks]).toEqual(["i-0", "i-4"]);
  });

  it("are the same ones whatever order they are listed in", () => {
    const loaded = buildLoaded([1, 1, 1, 1, 1, 1]);
    const reversed = [...loaded].reverse();
    expect([...computeTalkSplit(reversed).forTalks])
      .toEqual([...computeTalkSplit(loaded).forTalks]);
  });
});
