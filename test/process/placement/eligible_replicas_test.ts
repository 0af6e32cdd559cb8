import { describe, expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import {
  computeInteractiveSplit,
  type LoadedReplica,
} from "../../../src/process/placement/interactive_replicas.ts";
import { PlacementState } from "../../../src/process/placement/index.ts";
import { choosePlacement } from "../../../src/process/placement/placement_choice.ts";
import { listEligible } from "../../../src/process/placement/eligible_replicas.ts";
import {
  buildListedReplica,
  buildListedReplicas,
} from "../../support/listed_replicas.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const SLOTS = 16;
const POOL_SIZE = 8;
const STREAM = {
  parts: ["own"],
  partTokens: [800],
  promptTokens: 800,
  isInteractive: true,
};

function buildLoaded(interactive: number[]): LoadedReplica[] {
  return interactive.map((each, index) => ({
    replica: buildListedReplica(index),
    load: {
      pendingTokens: 0,
      deferredTokens: 0,
      running: each,
      interactive: each,
    },
    prefillShare: 0,
  }));
}

function listIds(loaded: LoadedReplica[], isInteractive: boolean): string[] {
  const split = computeInteractiveSplit(loaded);
  return listEligible(loaded, { ...STREAM, isInteractive }, split)
    .map(({ replica }) => replica.id);
}

// Guards against interactive streams that wait a second for a slot while half
// of the pool is idle. A burst fills the reserved replicas, and no more than
// half of the pool is ever reserved; earlier, interactive streams went to
// reserved replicas only.
describe("interactive streams in a burst", () => {
  it("go to the reserved replicas while those have free slots", () => {
    expect(listIds(buildLoaded([15, 16, 16, 16, 0, 0, 0, 0]), true).sort())
      .toEqual(["i-0", "i-1", "i-2", "i-3"]);
  });

  it("go elsewhere once the reserved replicas are full", () => {
    expect(listIds(buildLoaded([16, 16, 16, 16, 0, 0, 0, 0]), true))
      .toEqual(["i-4", "i-5", "i-6", "i-7"]);
  });

  it("wait at the reserved replicas where no replica has a free slot", () => {
    const loaded = buildLoaded(Array(POOL_SIZE).fill(SLOTS));
    expect(listIds(loaded, true)).toHaveLength(POOL_SIZE / 2);
  });

  it("do not displace long prompts from the other replicas", () => {
    expect(listIds(buildLoaded([16, 16, 16, 16, 0, 0, 0, 0]), false))
      .toEqual(["i-4", "i-5", "i-6", "i-7"]);
  });

  it("spill over to the replica with the least prefill", () => {
    const replicas = buildListedReplicas(POOL_SIZE);
    const state = PlacementState.create({
      clock: VirtualClock.create(),
      onUpdate: () => {},
      onEjected: () => {},
    });
    for (const { id } of replicas.slice(0, POOL_SIZE / 2)) {
      for (let count = 0; count < SLOTS; count++) {
        state.loads.addOwn(id, { pendingTokens: 0, isInteractive: true });
      }
    }
    for (const { id } of replicas.slice(POOL_SIZE / 2, POOL_SIZE - 1)) {
      state.prefills.addPrefill(id, 1_500);
    }
    const placement = choosePlacement(replicas, STREAM, {
      dataCentre: toId("dc"),
      state,
    });
    expect(placement?.replica.id).toBe(`i-${POOL_SIZE - 1}`);
  });
});
