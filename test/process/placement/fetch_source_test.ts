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
const SHEET: PlacementNeeds = {
  parts: ["sheet", "own"],
  partTokens: [13_000, 3_700],
  promptTokens: 16_700,
  isInteractive: false,
};
/** Longer than any prefill takes on replicas that are not overloaded. */
const READ_MS = 2_000;

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
  const choose = (needs = SHEET) =>
    choosePlacement(replicas, needs, { dataCentre: DATA_CENTRE, state })!;
  return { clock, state, replicas, choose };
}

// The load: a flood of prompts about one long sheet, more than the replica that
// has read it can read the rest of.
// Symptom: the sheet is read again by every replica, and all queues grow.
// Cause: a replica that did not hold the sheet had no way to it but prefill.
describe("a prompt whose shared part is read elsewhere", () => {
  it("goes to an idle replica that fetches it from a busy one", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, SHEET.parts, SHEET.promptTokens);
    await clock.run(READ_MS);
    state.loads.addOwn(holder, { pendingTokens: 20_000, isInteractive: false });
    const placement = choose();
    expect(placement.replica.id).not.toBe(holder);
    expect(placement.fetchFrom).toBe("10.0.0.1:80");
    expect(placement.fetchedTokens).toBe(13_000);
  });

  // Symptom: on empty caches the same sheet is read at several replicas.
  // Sequence: one has read it after half a second; more prompts come for it.
  // Cause: it counted as read by the time alone, a second later.
  it("is fetched as soon as its reader has sent any output", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, SHEET.parts, SHEET.promptTokens);
    await clock.run(500);
    state.loads.addOwn(holder, { pendingTokens: 20_000, isInteractive: false });
    expect(choose().fetchFrom).toBeUndefined();
    state.prefixes.noteRead(holder, SHEET.parts);
    expect(choose().fetchFrom).toBe("10.0.0.1:80");
    const [told] = state.takeUpdate().reads;
    expect(told).toEqual([holder, ["sheet"]]);
  });

  it("tells nobody of what they take for read by themselves", async () => {
    const { clock, state, replicas } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, SHEET.parts, SHEET.promptTokens);
    await clock.run(READ_MS);
    state.prefixes.noteRead(holder, SHEET.parts);
    expect(state.takeUpdate().reads).toEqual([]);
  });

  // Symptom: some replicas have five seconds of prefill ahead, others none.
  // Sequence: 45,000 tokens wait at the mean replica of a flood, 200,000 at
  // the one that holds a sheet.
  // Cause: prefill the sheet again weighed more the more was waiting, without
  // end, so every prompt for it went there.
  it("goes elsewhere from a replica far behind the others", () => {
    const { state, replicas, choose } = createPool();
    const [holder, ...others] = replicas.map(({ id }) => id);
    state.prefixes.noteSent(holder!, SHEET.parts, SHEET.promptTokens);
    const isInteractive = false;
    state.loads.addOwn(holder!, { pendingTokens: 200_000, isInteractive });
    for (const id of others) {
      state.loads.addOwn(id, { pendingTokens: 40_000, isInteractive });
    }
    expect(choose({ ...SHEET, targetMs: 2_000 }).replica.id).not.toBe(holder);
  });

  it("stays where it is while there is room", async () => {
    const { clock, state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, SHEET.parts, SHEET.promptTokens);
    await clock.run(READ_MS);
    const placement = choose();
    expect(placement.replica.id).toBe(holder);
    expect(placement.fetchFrom).toBeUndefined();
  });

  it("is not fetched before it can have been read", () => {
    const { state, replicas, choose } = createPool();
    const holder = replicas[0]!.id;
    state.prefixes.noteSent(holder, SHEET.parts, SHEET.promptTokens);
    state.loads.addOwn(holder, { pendingTokens: 90_000, isInteractive: false });
    expect(choose().fetchFrom).toBeUndefined();
  });
});
