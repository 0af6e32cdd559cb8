import fc from "fast-check";
import { describe, expect, test } from "vitest";
import { type ClassName, toId } from "../../../src/ids.ts";
import { DUE_SHARE } from "../../../src/process/scheduler/class_queue.ts";
import { buildFeatures } from "../../../src/process/scheduler/scheduler_features.ts";
import type { QueueEntry } from "../../../src/process/scheduler/waiter.ts";
import {
  type GrantFilter,
  WaitingQueue,
} from "../../../src/process/scheduler/waiting_queue.ts";
import { buildClass } from "./fixtures.ts";
import { NaiveQueue } from "./naive_queue.ts";

const CLASSES = [
  { name: "chat", rank: 0, maxWaitMs: 4_000, minShare: 0.2 },
  { name: "lookup", rank: 0, maxWaitMs: 2_000, minShare: 0 },
  { name: "summary", rank: 1, maxWaitMs: 3_000, minShare: 0.1 },
  { name: "batch", rank: 2, maxWaitMs: 10_000, minShare: 0.05 },
];
const MODELS = ["small", "large"];
const SLOTS = 4;
const RUNS = 500;

interface EntrySpec {
  kind: number;
  workspace: number;
  model: number;
  startsIn: number;
  agedMs: number;
  cost: number;
  isLearnt: boolean;
  slotMs: number;
}

type Step =
  | { kind: "add"; seed: EntrySpec }
  | {
    kind: "grant";
    acceptsModel: boolean[];
    closedRank: number;
    promote: boolean;
  }
  | { kind: "remove"; pick: number }
  | { kind: "correct"; pick: number; tokens: number }
  | { kind: "wait"; ms: number };

const SEED = fc.record({
  kind: fc.nat(CLASSES.length - 1),
  workspace: fc.nat(3),
  model: fc.nat(1),
  startsIn: fc.integer({ min: -500, max: 3_000 }),
  agedMs: fc.nat(500),
  cost: fc.integer({ min: 1, max: 300 }),
  isLearnt: fc.boolean(),
  slotMs: fc.integer({ min: 1, max: 2_000 }),
});

const STEP: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 5,
    arbitrary: SEED.map((seed) => ({ kind: "add", seed }) as const),
  },
  {
    weight: 4,
    arbitrary: fc.record({
      kind: fc.constant("grant" as const),
      acceptsModel: fc.tuple(fc.boolean(), fc.boolean()),
      closedRank: fc.constantFrom(-1, -1, -1, 0, 1),
      promote: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("remove" as const),
      pick: fc.nat(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant("correct" as const),
      pick: fc.nat(),
      tokens: fc.integer({ min: -200, max: 400 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant("wait" as const),
      ms: fc.nat(1_500),
    }),
  },
);

/** The same step for a single class and model, with every grant allowed. */
function buildCrowdedStep(step: Step): Step {
  if (step.kind === "add") {
    return { kind: "add", seed: { ...step.seed, kind: 0, model: 0 } };
  }
  if (step.kind !== "grant") return step;
  return {
    kind: "grant",
    acceptsModel: [true, true],
    closedRank: -1,
    promote: true,
  };
}

function buildEntry(
  seed: EntrySpec,
  now: number,
  sequence: number,
): QueueEntry {
  const kind = CLASSES[seed.kind]!;
  return {
    ticket: toId(`ticket-${sequence}`),
    className: toId<ClassName>(kind.name),
    workspace: toId(`workspace-${seed.workspace}`),
    modelKey: MODELS[seed.model]!,
    rank: kind.rank,
    requestClass: buildClass(kind.name, kind as never),
    weight: 1 + seed.workspace % 2,
    arrivedAt: now - seed.agedMs,
    sequence,
    startBy: now + seed.startsIn,
    dropAt: Infinity,
    isResumed: false,
    cost: seed.cost,
    isCostLearnt: seed.isLearnt,
    slotMs: seed.slotMs,
  };
}

function buildFilter(
  step: Extract<Step, { kind: "grant" }>,
): GrantFilter<QueueEntry> {
  return {
    isTierOpen: (rank) => rank !== step.closedRank,
    canPromote: () => step.promote,
    accepts: (entry) => step.acceptsModel[MODELS.indexOf(entry.modelKey)]!,
  };
}

/** Runs `steps` against both queues and fails at the first difference. */
function runBoth(
  steps: Step[],
  features: { fairShare: boolean; progress: boolean },
): void {
  const queue = WaitingQueue.create<QueueEntry>(buildFeatures(features));
  const naive = new NaiveQueue(features);
  const granted: QueueEntry[] = [];
  let now = 0;
  let sequence = 0;
  for (const step of steps) {
    if (step.kind === "wait") {
      now += step.ms;
    } else if (step.kind === "add") {
      const entry = buildEntry(step.seed, now, sequence++);
      queue.add(entry, now);
      naive.add(entry, now);
    } else if (step.kind === "remove") {
      const entries = [...queue.list()];
      const entry = entries[step.pick % Math.max(1, entries.length)];
      if (entry === undefined) continue;
      queue.remove(entry, now);
      naive.remove(entry, now);
    } else if (step.kind === "correct") {
      const entry = granted[step.pick % Math.max(1, granted.length)];
      if (entry === undefined) continue;
      queue.noteServed(entry, step.tokens);
      naive.noteServed(entry, step.tokens);
      const cost = Math.max(1, entry.cost + step.tokens);
      queue.noteFinished(entry, cost);
      naive.noteFinished(entry, cost);
    } else {
      queue.addCredit(now, SLOTS);
      naive.addCredit(now, SLOTS);
      const filter = buildFilter(step);
      const next = queue.findNext(now, filter);
      const expected = naive.findNext(now, filter);
      expect(next?.entry.ticket).toBe(expected?.entry.ticket);
      expect(next?.isPromoted).toBe(expected?.isPromoted);
      if (next === undefined) continue;
      const charge = queue.takeGranted(next.entry, now);
      expect(naive.takeGranted(next.entry, now)).toBe(charge);
      granted.push(next.entry);
    }
    expect(queue.size).toBe(naive.size);
    expect(queue.findLowestRank()).toBe(naive.findLowestRank());
  }
}

describe("WaitingQueue compared with a sorted list", () => {
  const steps = fc.array(STEP, { minLength: 1, maxLength: 80 });

  function checkRuns(
    runs: fc.Arbitrary<Step[]>,
    options: { seed: number; fairShare: boolean; progress: boolean },
  ): void {
    const { seed, ...features } = options;
    fc.assert(
      fc.property(runs, (run) => runBoth(run, features)),
      { seed, numRuns: RUNS },
    );
  }

  test("orders by tier and earliest feasible start", () => {
    checkRuns(steps, { seed: 1, fairShare: false, progress: false });
  });

  test("shares fairly between workspaces", () => {
    checkRuns(steps, { seed: 2, fairShare: true, progress: false });
  });

  test("shares fairly between workspaces with large backlogs", () => {
    const crowded = fc.array(
      STEP.map((step) => buildCrowdedStep(step)),
      { minLength: 60, maxLength: 160 },
    );
    checkRuns(crowded, { seed: 5, fairShare: true, progress: false });
  });

  test("grants due classes and classes with credit first", () => {
    checkRuns(steps, { seed: 3, fairShare: true, progress: true });
  });
});

describe("WaitingQueue shedding", () => {
  test("chooses victims only from the lowest waiting tier", () => {
    const seeds = fc.array(SEED, { minLength: 1, maxLength: 40 });
    fc.assert(
      fc.property(seeds, (run) => {
        const queue = WaitingQueue.create<QueueEntry>(buildFeatures());
        run.forEach((seed, sequence) =>
          queue.add(buildEntry(seed, 0, sequence), 0)
        );
        while (queue.size > 0) {
          const ranks = [...queue.list()].map((entry) => entry.rank);
          const victim = queue.findShedVictim()!;
          expect(victim.rank).toBe(Math.max(...ranks));
          queue.remove(victim, 0);
        }
      }),
      { seed: 4, numRuns: RUNS },
    );
  });

  test("sheds the head of a class after the rest of its tier", () => {
    const queue = WaitingQueue.create<QueueEntry>(buildFeatures());
    const seed = {
      workspace: 0,
      model: 0,
      startsIn: 0,
      agedMs: 0,
      cost: 1,
      isLearnt: true,
      slotMs: 1,
    };
    const only = buildEntry({ ...seed, kind: 0 }, 0, 5);
    queue.add(buildEntry({ ...seed, kind: 1 }, 0, 1), 0);
    queue.add(buildEntry({ ...seed, kind: 1 }, 0, 2), 0);
    queue.add(only, 0);
    expect(queue.findShedVictim()?.sequence).toBe(2);
  });
});

describe("WaitingQueue while a higher tier is overloaded", () => {
  // Guards against starvation: while a higher tier always has more requests
  // than there are slots, strict tier priority alone never grants a low class.
  test("grants each head of a low class within its wait bound", () => {
    const queue = WaitingQueue.create<QueueEntry>(buildFeatures());
    const seed = {
      workspace: 0,
      model: 0,
      startsIn: 100_000,
      agedMs: 0,
      cost: 10,
      isLearnt: true,
      slotMs: 100_000,
    };
    let sequence = 0;
    const lows = [0, 1, 2].map(() =>
      buildEntry({ ...seed, kind: 3 }, 0, sequence++)
    );
    for (const low of lows) queue.add(low, 0);
    const grantedAt: number[] = [];
    const everyMs = 500;
    for (let now = 0; now <= 40_000; now += everyMs) {
      queue.add(buildEntry({ ...seed, kind: 0 }, now, sequence++), now);
      queue.addCredit(now, SLOTS);
      const next = queue.findNext(now, {
        isTierOpen: () => true,
        canPromote: () => true,
        accepts: () => true,
      })!;
      queue.takeGranted(next.entry, now);
      if (next.entry.rank === 2) grantedAt.push(now);
    }
    const dueMs = DUE_SHARE * 10_000;
    expect(grantedAt).toEqual([dueMs, 2 * dueMs, 3 * dueMs]);
  });

  test("grants a low class its minimum share and no more", () => {
    const queue = WaitingQueue.create<QueueEntry>(buildFeatures());
    const seed = {
      workspace: 0,
      model: 0,
      startsIn: 1_000_000,
      agedMs: 0,
      cost: 10,
      isLearnt: true,
      slotMs: 1_000,
    };
    const grants = 800;
    let sequence = 0;
    let low = 0;
    for (let count = 0; count < grants; count++) {
      queue.add(buildEntry({ ...seed, kind: 0 }, 0, sequence++), 0);
      queue.add(
        {
          ...buildEntry({ ...seed, kind: 2 }, 0, sequence++),
          requestClass: buildClass("summary", {
            minShare: 0.1,
            maxWaitMs: 1e9,
          }),
        },
        0,
      );
    }
    // Four slots with requests of one second: a grant every 250 ms.
    for (let count = 0; count < grants; count++) {
      const now = count * 250;
      queue.addCredit(now, SLOTS);
      const next = queue.findNext(now, {
        isTierOpen: () => true,
        canPromote: () => true,
        accepts: () => true,
      })!;
      queue.takeGranted(next.entry, now);
      if (next.entry.rank === 1) low++;
    }
    expect(low / grants).toBeGreaterThan(0.095);
    expect(low / grants).toBeLessThan(0.105);
  });
});
