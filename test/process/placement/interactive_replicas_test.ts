import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import type { ListedReplica } from "../../../src/process/placement/replica_list.ts";
import { computeInteractiveSplit } from "../../../src/process/placement/interactive_replicas.ts";

const SLOTS = 64;
/** Interactive streams for which one replica is reserved: 0.4 of its slots. */
const STREAMS_PER_REPLICA = 25;

function buildLoaded(interactive: number[], prefillShare = 0) {
  return interactive.map((each, index) => ({
    replica: {
      id: toId<VmId>(`i-${index}`),
      pool: toId<ListedReplica["pool"]>("pool"),
      address: "10.0.0.1",
      port: 80,
      dataCentre: toId<ListedReplica["dataCentre"]>("dc"),
      slots: SLOTS,
      state: "ready" as const,
    },
    load: {
      pendingTokens: 0,
      deferredTokens: 0,
      running: each,
      interactive: each,
    },
    prefillShare,
  }));
}

// Guards against interactive streams that begin on time and then pause for
// longer than their callers accept, or miss their deadline. While long prompts
// are prefilled on every replica, each token waits for a chunk of one of them.
describe("replicas reserved for interactive streams", () => {
  it("are none where no such stream runs, and in pools too small to split", () => {
    expect(
      computeInteractiveSplit(buildLoaded([0, 0, 0, 0, 0])).forInteractive.size,
    ).toBe(
      0,
    );
    expect(computeInteractiveSplit(buildLoaded([3, 0, 0])).forInteractive.size)
      .toBe(0);
  });

  it("are those that already run the most of them", () => {
    const split = computeInteractiveSplit(buildLoaded([0, 2, 9, 0, 0, 0]));
    expect([...split.forInteractive]).toEqual(["i-2"]);
    expect([...split.closedToLongPrompts]).toEqual(["i-2"]);
  });

  it("grow in number with the streams, up to half of the pool", () => {
    for (const replicas of [1, 2, 3]) {
      const interactive = [STREAMS_PER_REPLICA * replicas, 0, 0, 0, 0, 0];
      expect(
        computeInteractiveSplit(buildLoaded(interactive)).forInteractive.size,
      ).toBe(replicas);
    }
    const split = computeInteractiveSplit(
      buildLoaded([60, 60, 60, 60, 60, 60]),
    );
    expect(split.forInteractive.size).toBe(3);
  });

  it("are as few as can run the streams where long prompts need the others", () => {
    const interactive = [2 * STREAMS_PER_REPLICA - 1, 0, 0, 0, 0, 0];
    const count = (shareOfOthers: number) => {
      const loaded = buildLoaded(interactive, shareOfOthers);
      loaded[0]!.prefillShare = 0.1;
      return computeInteractiveSplit(loaded).forInteractive.size;
    };
    expect(count(0.1)).toBe(2);
    expect(count(0.9)).toBe(1);
  });

  // Guards against interactive streams that pause for each other's prompts in a
  // burst: their replica had free slots, but no time left.
  it("are more where the streams' own prompts keep one busy", () => {
    const loaded = buildLoaded(
      [2 * STREAMS_PER_REPLICA - 1, 0, 0, 0, 0, 0],
      0.9,
    );
    expect(computeInteractiveSplit(loaded).forInteractive.size).toBe(2);
  });

  it("take no long prompts until their interactive streams have ended", () => {
    const split = computeInteractiveSplit(buildLoaded([14, 9, 2, 0, 0, 0]));
    expect([...split.forInteractive]).toEqual(["i-0"]);
    expect([...split.closedToLongPrompts]).toEqual(["i-0", "i-1"]);
  });

  it("are those with the least prefill where more are needed", () => {
    const loaded = buildLoaded([STREAMS_PER_REPLICA + 1, 0, 0, 0, 0, 0]);
    loaded.forEach((each) => each.prefillShare = 0.35);
    loaded[4]!.prefillShare = 0.1;
    loaded[0]!.prefillShare = 0;
    expect([...computeInteractiveSplit(loaded).forInteractive]).toEqual([
      "i-0",
      "i-4",
    ]);
  });

  it("do not depend on the order in which replicas are listed", () => {
    const loaded = buildLoaded([1, 1, 1, 1, 1, 1]);
    const reversed = [...loaded].reverse();
    expect([...computeInteractiveSplit(reversed).forInteractive])
      .toEqual([...computeInteractiveSplit(loaded).forInteractive]);
  });
});
