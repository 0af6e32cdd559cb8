/**
 * What one VM comes to believe of the others.
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

function createBeliefs() {
  const clock = VirtualClock.create();
  const sent: MemberUpdate[] = [];
  const beliefs = MemberStates.create({
    self: SELF,
    clock,
    onNews: (news) => sent.push(news),
  });
  return { beliefs, clock, sent };
}

describe("beliefs", () => {
  it("suspect before they bury", async () => {
    const { beliefs, clock, sent } = createBeliefs();
    beliefs.noteContact({ from: OTHER, counter: 0, draining: false });
    beliefs.noteSilence(OTHER.vm);
    expect(beliefs.isDead(OTHER.vm)).toBe(false);
    await clock.run(SUSPICION_MS - 1);
    expect(beliefs.applySuspicions(SUSPICION_MS)).toEqual([]);
    await clock.run(1);
    expect(beliefs.applySuspicions(SUSPICION_MS)).toEqual([OTHER.vm]);
    expect(beliefs.isDead(OTHER.vm)).toBe(true);
    expect(sent.map(({ state }) => state)).toEqual(["suspect", "dead"]);
  });

  it("are cleared by a higher counter and by nothing less", () => {
    const { beliefs } = createBeliefs();
    beliefs.noteNews({ ...OTHER, state: "dead", counter: 3 });
    beliefs.noteContact({ from: OTHER, counter: 3, draining: false });
    beliefs.noteNews({ ...OTHER, state: "alive", counter: 3 });
    expect(beliefs.isDead(OTHER.vm)).toBe(true);
    beliefs.noteContact({ from: OTHER, counter: 4, draining: false });
    expect(beliefs.isDead(OTHER.vm)).toBe(false);
  });

  it("make a VM refute what is said of it, with a counter above", () => {
    const { beliefs, sent } = createBeliefs();
    beliefs.noteNews({ ...SELF, state: "suspect", counter: 7 });
    expect(beliefs.getOwn().counter).toBe(8);
    expect(sent).toEqual([{ ...SELF, state: "alive", counter: 8 }]);
    beliefs.noteNews({ ...SELF, state: "dead", counter: 2 });
    expect(beliefs.getOwn().counter).toBe(8);
  });

  it("do not let a doubt about an old life touch the new one", () => {
    const { beliefs } = createBeliefs();
    const next = { vm: OTHER.vm, incarnation: toId<Incarnation>("b-2") };
    beliefs.noteContact({ from: next, counter: 0, draining: false });
    beliefs.noteNews({ ...OTHER, state: "dead", counter: 99 });
    expect(beliefs.isDead(OTHER.vm)).toBe(false);
    beliefs.noteNews({ ...next, state: "dead", counter: 0 });
    expect(beliefs.isDead(OTHER.vm)).toBe(true);
  });

  it("keep that a VM drains through suspicion and refutation", () => {
    const { beliefs } = createBeliefs();
    beliefs.noteContact({ from: OTHER, counter: 1, draining: true });
    beliefs.noteNews({ ...OTHER, state: "suspect", counter: 1 });
    expect(beliefs.isDraining(OTHER.vm)).toBe(true);
    beliefs.noteContact({ from: OTHER, counter: 2, draining: true });
    expect(beliefs.isDraining(OTHER.vm)).toBe(true);
  });

  it("are the same in whatever order news of one life comes", () => {
    const news = fc.record({
      vm: fc.constant(OTHER.vm),
      incarnation: fc.constant(OTHER.incarnation),
      state: fc.constantFrom("alive", "suspect", "dead" as const),
      counter: fc.integer({ min: 0, max: 3 }),
    }) as fc.Arbitrary<MemberUpdate>;
    fc.assert(
      fc.property(fc.array(news, { minLength: 1, maxLength: 8 }), (given) => {
        const results = [given, [...given].reverse()].map((order) => {
          const { beliefs } = createBeliefs();
          for (const one of order) beliefs.noteNews(one);
          return beliefs.findDoubt(OTHER.vm);
        });
        expect(results[0]).toEqual(results[1]);
      }),
      { numRuns: 500, seed: 4 },
    );
  });
});
