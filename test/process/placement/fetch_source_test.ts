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
  parts: ["sheet", "own"],
  partTokens: [13_000, 3_700],
  promptTokens: 16_700,
  isInteractive: false,
};
/** Longer than any prefill takes on replicas that are not overloaded. */
const PREFILL_MS = 2_000;

function createPool() {
  const clock = VirtualClock.create();
  const replicas = [1, 2, 3].map((index): ListedReplica => ({
    id: toId<VmId>(`i-${index}`),
    pool: toId("pool"),
    address: `10.0.0.${index}`,
    port: 80,
    dataCentre: DATA_CENTRE,
    slots: 64,
    state: "ready",
  }));
  const state = PlacementState.create({
    clock,
    onUpdate: () => {},
    onEjected: () => {},
  });
  const choose = (needs = DOCUMENT) =>
    choosePlacement(replicas, needs, { dataCentre: DATA_CENTRE, state })!;
  return { clock, state, replicas, choose };
}

// Guards against every replica prefilling the same long part when one part is
// hot. Without fetches, a replica that had not cached the part could only
// prefill it, and all queues grew.
describe("a prompt whose shared part is cached at another replica", () => {
  it("goes to an idle replica that fetches it from a busy one", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, DOCUMENT.parts, DOCUMENT.promptTokens);
    await clock.run(PREFILL_MS);
    state.loads.addOwn(holder, { pendingTokens: 20_000, isInteractive: false });
    const placement = choose();
    expect(placement.replica.id).not.toBe(holder);
    expect(placement.fetchFrom).toBe("10.0.0.1:80");
    expect(placement.fetchedTokens).toBe(13_000);
  });

  // Guards against several replicas prefilling the same part on empty caches:
  // the part must count as prefilled with the first output after it, which may
  // be a second before the fixed time.
  it("has its part fetched once the holder has sent any output", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, DOCUMENT.parts, DOCUMENT.promptTokens);
    await clock.run(500);
    state.loads.addOwn(holder, { pendingTokens: 20_000, isInteractive: false });
    expect(choose().fetchFrom).toBeUndefined();
    state.prefixes.notePrefilled(holder, DOCUMENT.parts);
    expect(choose().fetchFrom).toBe("10.0.0.1:80");
    const [reported] = state.takeUpdate().reads;
    expect(reported).toEqual([holder, ["sheet"]]);
  });

  it("causes no update that the other VMs assume by themselves", async () => {
    const { clock, state, replicas } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, DOCUMENT.parts, DOCUMENT.promptTokens);
    await clock.run(PREFILL_MS);
    state.prefixes.notePrefilled(holder, DOCUMENT.parts);
    expect(state.takeUpdate().reads).toEqual([]);
  });

  // Guards against one replica with seconds of prefill ahead while others have
  // none: the weight of prefilling a part again grew with the queues without
  // limit, so every prompt with that part went to its holder. In the case seen,
  // 200,000 tokens waited there and 45,000 at the mean replica.
  it("avoids a holder that is far behind the others", () => {
    const { state, replicas, choose } = createPool();
    const [holder, ...others] = replicas.map(({ id }) => id);
    state.prefixes.noteSent(holder!, DOCUMENT.parts, DOCUMENT.promptTokens);
    const isInteractive = false;
    state.loads.addOwn(holder!, { pendingTokens: 200_000, isInteractive });
    for (const id of others) {
      state.loads.addOwn(id, { pendingTokens: 40_000, isInteractive });
    }
    expect(choose({ ...DOCUMENT, targetMs: 2_000 }).replica.id).not.toBe(
      holder,
    );
  });

  it("goes to the holder while that has capacity", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, DOCUMENT.parts, DOCUMENT.promptTokens);
    await clock.run(PREFILL_MS);
    const placement = choose();
    expect(placement.replica.id).toBe(holder);
    expect(placement.fetchFrom).toBeUndefined();
  });

  it("fetches nothing before the holder can have prefilled the part", () => {
    const { state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, DOCUMENT.parts, DOCUMENT.promptTokens);
    state.loads.addOwn(holder, { pendingTokens: 90_000, isInteractive: false });
    expect(choose().fetchFrom).toBeUndefined();
  });
});
