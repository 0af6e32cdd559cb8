import { describe, expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import {
  computeInteractiveSplit,
  type LoadedReplica,
} from "../../../src/process/placement/interactive_replicas.ts";
import { PlacementState } from "../../../src/process/placement/index.ts";
import { choosePlacement } from "../../../src/process/placement/placement_choice.ts";
import { listSuited } from "../../../src/process/placement/eligible_replicas.ts";
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
  return listSuited(loaded, { ...STREAM, isInteractive }, split)
    .map(({ replica }) => replica.id);
}

// The load: a burst of interactive streams, for some seconds more than the
// replicas that are kept for them have slots.
// Symptom: streams wait a second for a slot while half of the pool is idle.
// Sequence: the burst fills the kept replicas; others are taken for interactive
// streams up to half of the pool, and no further.
// Cause: interactive streams went to the replicas kept for them alone.
describe("interactive streams in a burst", () => {
  it("go to the replicas kept for them while those have slots", () => {
    expect(listIds(buildLoaded([15, 16, 16, 16, 0, 0, 0, 0]), true).sort())
      .toEqual(["i-0", "i-1", "i-2", "i-3"]);
  });

  it("go elsewhere once those have none", () => {
    expect(listIds(buildLoaded([16, 16, 16, 16, 0, 0, 0, 0]), true))
      .toEqual(["i-4", "i-5", "i-6", "i-7"]);
  });

  it("wait at those kept for them where no replica has a slot", () => {
    const loaded = buildLoaded(Array(POOL_SIZE).fill(SLOTS));
    expect(listIds(loaded, true)).toHaveLength(POOL_SIZE / 2);
  });

  it("leave long prompts where they were", () => {
    expect(listIds(buildLoaded([16, 16, 16, 16, 0, 0, 0, 0]), false))
      .toEqual(["i-4", "i-5", "i-6", "i-7"]);
  });

  it("go where least is read, of those elsewhere", () => {
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
