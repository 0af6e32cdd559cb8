/**
 * Tests the states that a VM derives for the other VMs.
 *
 * @module
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { toId } from "../../src/ids.ts";
import type { Incarnation, VmId } from "../../src/ids.ts";
import { MemberStates } from "../../src/process/member_states.ts";
import type { MemberUpdate } from "../../src/process/peer_api.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const SELF = { vm: toId<VmId>("a"), incarnation: toId<Incarnation>("a-1") };
const OTHER = { vm: toId<VmId>("b"), incarnation: toId<Incarnation>("b-1") };
const SUSPICION_MS = 1_000;

function createStates() {
  const clock = VirtualClock.create();
  const sent: MemberUpdate[] = [];
  const states = MemberStates.create({
    self: SELF,
    clock,
    onUpdate: (update) => sent.push(update),
  });
  return { states, clock, sent };
}

describe("MemberStates", () => {
  it("suspects a VM before declaring it dead", async () => {
    const { states, clock, sent } = createStates();
    states.applySelfReport({ from: OTHER, counter: 0, draining: false });
    states.noteProbeFailure(OTHER.vm);
    expect(states.isDead(OTHER.vm)).toBe(false);
    await clock.run(SUSPICION_MS - 1);
    expect(states.applySuspicionTimeout(SUSPICION_MS)).toEqual([]);
    await clock.run(1);
    expect(states.applySuspicionTimeout(SUSPICION_MS)).toEqual([OTHER.vm]);
    expect(states.isDead(OTHER.vm)).toBe(true);
    expect(sent.map(({ state }) => state)).toEqual(["suspect", "dead"]);
  });

  it("clears a suspicion only for a higher counter", () => {
    const { states } = createStates();
    states.applyUpdate({ ...OTHER, state: "dead", counter: 3 });
    states.applySelfReport({ from: OTHER, counter: 3, draining: false });
    states.applyUpdate({ ...OTHER, state: "alive", counter: 3 });
    expect(states.isDead(OTHER.vm)).toBe(true);
    states.applySelfReport({ from: OTHER, counter: 4, draining: false });
    expect(states.isDead(OTHER.vm)).toBe(false);
  });

  it("refutes a suspicion of this VM with a higher counter", () => {
    const { states, sent } = createStates();
    states.applyUpdate({ ...SELF, state: "suspect", counter: 7 });
    expect(states.getSelfReport().counter).toBe(8);
    expect(sent).toEqual([{ ...SELF, state: "alive", counter: 8 }]);
    states.applyUpdate({ ...SELF, state: "dead", counter: 2 });
    expect(states.getSelfReport().counter).toBe(8);
  });

  it("ignores a suspicion of an earlier incarnation", () => {
    const { states } = createStates();
    const next = { vm: OTHER.vm, incarnation: toId<Incarnation>("b-2") };
    states.applySelfReport({ from: next, counter: 0, draining: false });
    states.applyUpdate({ ...OTHER, state: "dead", counter: 99 });
    expect(states.isDead(OTHER.vm)).toBe(false);
    states.applyUpdate({ ...next, state: "dead", counter: 0 });
    expect(states.isDead(OTHER.vm)).toBe(true);
  });

  it("keeps the draining state through suspicion and refutation", () => {
    const { states } = createStates();
    states.applySelfReport({ from: OTHER, counter: 1, draining: true });
    states.applyUpdate({ ...OTHER, state: "suspect", counter: 1 });
    expect(states.isDraining(OTHER.vm)).toBe(true);
    states.applySelfReport({ from: OTHER, counter: 2, draining: true });
    expect(states.isDraining(OTHER.vm)).toBe(true);
  });

  it("gives the same result for any order of updates of one incarnation", () => {
    const update = fc.record({
      vm: fc.constant(OTHER.vm),
      incarnation: fc.constant(OTHER.incarnation),
      state: fc.constantFrom("alive", "suspect", "dead" as const),
      counter: fc.integer({ min: 0, max: 3 }),
    }) as fc.Arbitrary<MemberUpdate>;
    fc.assert(
      fc.property(fc.array(update, { minLength: 1, maxLength: 8 }), (given) => {
        const results = [given, [...given].reverse()].map((order) => {
          const { states } = createStates();
          for (const one of order) states.applyUpdate(one);
          return states.findSuspicion(OTHER.vm);
        });
        expect(results[0]).toEqual(results[1]);
      }),
      { numRuns: 500, seed: 4 },
    );
  });
});
