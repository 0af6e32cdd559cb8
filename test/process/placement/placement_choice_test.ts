import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { PlacementState } from "../../../src/process/placement/index.ts";
import {
  choosePlacement,
  type PlacementNeeds,
} from "../../../src/process/placement/placement_choice.ts";
import type { ListedReplica } from "../../../src/process/placement/replica_list.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

const DATA_CENTRE = toId<ListedReplica["dataCentre"]>("dc");
const DOCUMENT: PlacementNeeds = {
  parts: ["shared", "subject", "own"],
  partTokens: [2_500, 3_800, 2_900],
  promptTokens: 9_200,
  isInteractive: false,
};
const INTERACTIVE: PlacementNeeds = {
  parts: ["greeting", "session", "words"],
  partTokens: [120, 80, 630],
  promptTokens: 830,
  isInteractive: true,
};

function buildReplicas(count: number): ListedReplica[] {
  return Array.from({ length: count }, (_, index) => ({
    id: toId<VmId>(`i-${index}`),
    pool: toId("pool"),
    address: "10.0.0.1",
    port: 80,
    dataCentre: DATA_CENTRE,
    slots: 64,
    state: "ready",
  }));
}

function createState(clock = VirtualClock.create()): PlacementState {
  return PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
}

function choose(
  replicas: ListedReplica[],
  needs: PlacementNeeds,
  state: PlacementState,
): VmId {
  const knowledge = { dataCentre: DATA_CENTRE, state };
  return choosePlacement(replicas, needs, knowledge)!.replica.id;
}

describe("the replica for a prompt", () => {
  it("is the one that has cached its parts", () => {
    const replicas = buildReplicas(6);
    for (const { id } of replicas) {
      const state = createState();
      state.prefixes.noteSent(id, DOCUMENT.parts.slice(0, 2), 0);
      expect(choose(replicas, DOCUMENT, state)).toBe(id);
    }
  });

  it("is the same for every VM that has not seen its parts", () => {
    const replicas = buildReplicas(6);
    const first = choose(replicas, DOCUMENT, createState());
    expect(choose([...replicas].reverse(), DOCUMENT, createState()))
      .toBe(first);
  });

  it("is another one where the holder has too long a queue", () => {
    const replicas = buildReplicas(3);
    const state = createState();
    const [holder] = replicas;
    state.prefixes.noteSent(holder!.id, DOCUMENT.parts.slice(0, 2), 0);
    const added = { pendingTokens: 40_000, isInteractive: false };
    state.loads.addOwn(holder!.id, added);
    expect(choose(replicas, DOCUMENT, state)).not.toBe(holder!.id);
  });

  // Guards against queues that stay long after a burst. All replicas have
  // prompts waiting, including the one that holds a part, and the next prompts
  // go to another one, which prefills the part again: a prefill cost no more
  // with prompts waiting everywhere than with none.
  it("is the holder of its parts where all queues are equally long", () => {
    const replicas = buildReplicas(6);
    const state = createState();
    const [holder] = replicas;
    state.prefixes.noteSent(holder!.id, DOCUMENT.parts.slice(0, 2), 0);
    const waiting = { pendingTokens: 20_000, isInteractive: false };
    state.loads.addOwn(holder!.id, waiting);
    expect(choose(replicas, DOCUMENT, state)).not.toBe(holder!.id);
    for (const { id } of replicas) state.loads.addOwn(id, waiting);
    expect(choose(replicas, DOCUMENT, state)).toBe(holder!.id);
  });

  // Guards against shared parts being prefilled four times as often under
  // overload: deferred prompts did not count as load, so all replicas seemed
  // idle, and prefilling a part again seemed cheap.
  it("is the holder of its parts where deferred prompts wait everywhere", () => {
    const replicas = buildReplicas(6);
    const state = createState();
    const late = { ...DOCUMENT, isDeferred: true };
    const [holder] = replicas;
    state.prefixes.noteSent(holder!.id, DOCUMENT.parts.slice(0, 2), 0);
    const waiting = {
      pendingTokens: 20_000,
      isInteractive: false,
      isDeferred: true,
    };
    state.loads.addOwn(holder!.id, waiting);
    expect(choose(replicas, late, state)).not.toBe(holder!.id);
    for (const { id } of replicas) state.loads.addOwn(id, waiting);
    expect(choose(replicas, late, state)).toBe(holder!.id);
  });

  // Guards against streams that pause for longer than their callers accept: an
  // engine prefills long prompts between the tokens of all its streams.
  it("keeps documents and interactive streams apart", () => {
    const replicas = buildReplicas(2);
    const state = createState();
    const [interactive, prefill] = replicas.map(({ id }) => id);
    const added = { pendingTokens: 0, isInteractive: true };
    for (let index = 0; index < 8; index++) {
      state.loads.addOwn(interactive!, added);
    }
    state.prefixes.noteSent(interactive!, ["other"], 0);
    expect(choose(replicas, { ...DOCUMENT, parts: ["x", "y", "z"] }, state))
      .toBe(prefill);
    state.prefills.addPrefill(prefill!, 400);
    expect(choose(replicas, INTERACTIVE, state)).toBe(interactive);
  });

  // Guards against over a hundred requests waiting at one replica while others
  // are idle: after a crash, all its streams look for another replica at once,
  // and the emptiest was chosen by all of them.
  it("is not the same one for all requests that a crash cut off", () => {
    const replicas = buildReplicas(4);
    const state = createState();
    const counts = new Map<VmId, number>();
    for (const { id } of replicas.slice(1)) {
      state.prefills.addPrefill(id, 1_000);
    }
    for (let index = 0; index < 120; index++) {
      const id = choose(replicas, INTERACTIVE, state);
      counts.set(id, (counts.get(id) ?? 0) + 1);
      state.loads.addOwn(id, { pendingTokens: 0, isInteractive: true });
    }
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(64);
  });

  it("depends on the loads of other VMs until their reports expire", async () => {
    const clock = VirtualClock.create();
    const state = createState(clock);
    const id = toId<VmId>("i-0");
    state.loads.putPeerLoads(toId("vm-2"), [[id, 5_000, 3, 1, 0]]);
    expect(state.loads.getLoad(id))
      .toEqual({
        pendingTokens: 5_000,
        deferredTokens: 0,
        running: 3,
        interactive: 1,
      });
    await clock.run(2_000);
    expect(state.loads.getLoad(id).running).toBe(0);
  });
});

describe("a replica's health", () => {
  // Guards against a replica that fails half of its requests and still gets its
  // full share, because its health check passes and its entry says that it is
  // ready.
  it("ejects it after failures, for longer each time", async () => {
    const clock = VirtualClock.create();
    const ejected: number[] = [];
    const state = PlacementState.create({
      clock,
      onUpdate: () => {},
      onEjected: (_replica, forMs) => ejected.push(forMs),
    });
    const id = toId<VmId>("i-0");
    state.health.noteResult(id, false);
    expect(state.health.isEjected(id)).toBe(false);
    state.health.noteResult(id, false);
    expect(state.health.isEjected(id)).toBe(true);
    await clock.run(600);
    expect(state.health.isEjected(id)).toBe(false);
    state.health.noteResult(id, false);
    expect(ejected).toEqual([500, 1_000]);
  });

  it("tolerates a few failures among many answers", () => {
    const state = createState();
    const id = toId<VmId>("i-0");
    for (let index = 0; index < 20; index++) state.health.noteResult(id, true);
    state.health.noteResult(id, false);
    state.health.noteResult(id, false);
    expect(state.health.isEjected(id)).toBe(false);
  });

  it("counts the results of other VMs", () => {
    const state = createState();
    const id = toId<VmId>("i-0");
    state.health.notePeerResults([[id, 0, 2]]);
    expect(state.health.isEjected(id)).toBe(true);
  });
});

describe("a replica's speed", () => {
  it("is estimated from samples, and forgotten without new ones", async () => {
    const clock = VirtualClock.create();
    const state = createState(clock);
    const id = toId<VmId>("i-0");
    for (let index = 0; index < 10; index++) {
      state.speeds.noteFirstOutput(id, 9_000, 1_300);
    }
    const slow = state.speeds.getSlowdown(id);
    expect(slow).toBeGreaterThan(3);
    await clock.run(8_000);
    expect(state.speeds.getSlowdown(id)).toBeLessThan(1 + (slow - 1) / 3);
  });
});
