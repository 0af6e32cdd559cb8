import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  buildSnapshot,
  DEFAULT_POLICY,
  formatProblem,
} from "../../src/version/index.ts";
import {
  buildAccepted,
  buildRawRecords,
  findProblems,
} from "./record_fixtures.ts";
import type { RawRecords } from "./record_fixtures.ts";

const SEED = 20_251;
const RUNS = 300;

interface Fault {
  title: string;
  change: (set: RawRecords) => void;
  /** Record name and path of each expected problem, in order. */
  places: string[];
}

function buildFault(
  title: string,
  { record, fields, places }: {
    record: string;
    fields: Record<string, unknown>;
    places: string[];
  },
): Fault {
  return {
    title,
    change: (set) => void Object.assign(set[record] ?? {}, fields),
    places,
  };
}

function buildFieldFault(
  record: string,
  field: string,
  value: unknown,
): Fault {
  return buildFault(`${record}.${field} = ${JSON.stringify(value)}`, {
    record,
    fields: { [field]: value },
    places: [`${record} $.${field}`],
  });
}

const SLOTS = { initial: 9, min: 1, max: 8 };
const MODEL = { model: "m", version: "1", replicas: 1 };

const FAULTS: Fault[] = [
  buildFieldFault("high", "rank", -1),
  buildFieldFault("high", "rank", 0.5),
  buildFieldFault("high", "schema", 2),
  buildFieldFault("chat", "schema", 3),
  buildFieldFault("chat", "schema", "1"),
  buildFieldFault("chat", "max_wait_ms", 0),
  buildFieldFault("chat", "max_wait_ms", 86_400_001),
  buildFieldFault("chat", "min_share", 0),
  buildFieldFault("chat", "min_share", 0.6),
  buildFieldFault("chat", "idempotent", "no"),
  buildFieldFault("chat", "first_token_ms", 30_001),
  buildFieldFault("chat", "first_token_ms", undefined),
  buildFieldFault("chat", "tier", "middle"),
  buildFieldFault("chat", "objective", 0.9),
  buildFieldFault("hold", "objective", 1),
  buildFieldFault("hold", "targets", 5),
  buildFieldFault("web", "key_hashes", []),
  buildFieldFault("web", "default_class", "other"),
  buildFieldFault("web", "weight", Number.NaN),
  buildFieldFault("engines", "models", []),
  buildFieldFault("engines", "default_class", "chat"),
  buildFieldFault("engines", "fencing", "maybe"),
  buildFieldFault("booking", "default_class", undefined),
  buildFieldFault("booking", "default_class", "other"),
  buildFieldFault("booking", "model", "m"),
  buildFieldFault("booking", "initial_slots", 9),
  buildFieldFault("policy", "retry_share", 1.1),
  buildFault("an unknown kind", {
    record: "high",
    fields: { kind: "level" },
    places: ["high $.kind"],
  }),
  buildFault("a name that plain objects inherit", {
    record: "chat",
    fields: { name: "constructor" },
    places: ["constructor $.name"],
  }),
  buildFault("a name used twice", {
    record: "desk",
    fields: { name: "web" },
    places: ["web $.name", "web $.name"],
  }),
  buildFault("a rank used twice", {
    record: "low",
    fields: { rank: 0 },
    places: ["high $.rank", "low $.rank"],
  }),
  buildFault("an unknown class of a workspace", {
    record: "web",
    fields: { classes: ["chat", "other"] },
    places: ["web $.classes[1]"],
  }),
  buildFault("a class listed twice", {
    record: "web",
    fields: { classes: ["chat", "hold", "chat"] },
    places: ["web $.classes[2]"],
  }),
  buildFault("an objective for a class that the workspace does not list", {
    record: "desk",
    fields: { objectives: { other: 0.9 } },
    places: ["desk $.objectives.other"],
  }),
  buildFault("an unknown nested field", {
    record: "desk",
    fields: { limits: { requests_per_minute: 1, tokens_per_minute: 1, x: 1 } },
    places: ["desk $.limits.x"],
  }),
  buildFault("slots out of order", {
    record: "engines",
    fields: { slots: SLOTS },
    places: ["engines $.slots.initial"],
  }),
  buildFault("a model and version listed twice", {
    record: "engines",
    fields: { models: [{ ...MODEL, adapters: ["a"] }, MODEL] },
    places: ["engines $.models[1]"],
  }),
  buildFault("weights that are all 0", {
    record: "policy",
    fields: { weights: { wasted_work: 0, goodput: 0, attainment: 0 } },
    places: ["policy $.weights"],
  }),
  buildFault("a tier whose limit is below the shares of its classes", {
    record: "low",
    fields: { max_slot_share: 0.05 },
    places: ["low $.max_slot_share"],
  }),
  {
    title: "minimum shares of more than half",
    change: (set) => {
      Object.assign(set.chat ?? {}, { min_share: 0.3 });
      Object.assign(set.hold ?? {}, { min_share: 0.200001 });
    },
    places: ["(all) $.min_share"],
  },
  {
    title: "a key hash of two workspaces",
    change: (set) =>
      void Object.assign(set.web ?? {}, { key_hashes: set.desk?.key_hashes }),
    places: ["desk $.key_hashes", "web $.key_hashes"],
  },
  {
    title: "two policies",
    change: (set) => {
      set.other = { ...set.policy, name: "other" };
    },
    places: ["other $.kind", "policy $.kind"],
  },
];

describe("buildSnapshot", () => {
  it("accepts both schema versions side by side", () => {
    const snapshot = buildAccepted(Object.values(buildRawRecords()));
    expect([...snapshot.classes.keys()]).toEqual(["chat", "hold"]);
    expect(snapshot.classes.get("chat" as never)?.objective).toBe(0.95);
    expect(snapshot.workspaces.get("desk" as never)?.objectives)
      .toEqual({ chat: 0.9 });
    expect([...snapshot.poolsByModel.keys()]).toEqual(["m"]);
    expect(snapshot.policy.weights.attainment).toBe(3);
  });

  it("uses the default policy if the records contain none", () => {
    const { policy: _, ...set } = buildRawRecords();
    expect(buildAccepted(Object.values(set)).policy).toEqual(DEFAULT_POLICY);
  });

  it("accepts minimum shares of exactly a half", () => {
    const set = buildRawRecords();
    Object.assign(set.chat ?? {}, { min_share: 0.1 });
    Object.assign(set.hold ?? {}, { min_share: 0.4 });
    expect(findProblems(Object.values(set))).toEqual([]);
  });

  it("accepts shares whose sum exceeds the bound only by rounding", () => {
    // Guards against rejecting records whose shares add up to the bound: a tier
    // limited to 0.3 has classes of 0.1 and 0.2, and 0.1 + 0.2 > 0.3 in
    // floating point.
    const set = buildRawRecords();
    Object.assign(set.low ?? {}, { max_slot_share: 0.3 });
    Object.assign(set.chat ?? {}, { tier: "low", min_share: 0.1 });
    Object.assign(set.hold ?? {}, { min_share: 0.2 });
    expect(findProblems(Object.values(set))).toEqual([]);
  });

  it("rejects an empty set with its version", () => {
    // Guards against every VM refusing all callers: a publisher writes an index
    // without groups, and an empty set of records is accepted as valid.
    expect(buildSnapshot(9, [])).toMatchObject({
      kind: "rejected",
      version: 9,
      problems: [{ path: "$" }],
    });
  });

  it.each(FAULTS)("names record and path: $title", ({ change, places }) => {
    const set = buildRawRecords();
    change(set);
    const problems = findProblems(Object.values(set));
    expect(problems.map(({ name, path }) => `${name} ${path}`)).toEqual(places);
    for (const problem of problems) {
      expect(formatProblem(problem)).toMatch(/: expected \S/);
      expect(problem.expected).not.toMatch(/invalid|received/i);
    }
  });

  it("returns the same result for any order of the records", () => {
    // Guards against VMs that disagree on a version, or report different
    // problems for it: they read its groups in different orders, and a check
    // depends on which record comes first.
    const faults = fc.subarray(FAULTS, { maxLength: 3 });
    const order = fc.array(fc.integer(), { minLength: 12, maxLength: 12 });
    fc.assert(
      fc.property(faults, order, (chosen, ranks) => {
        const set = buildRawRecords();
        for (const { change } of chosen) change(set);
        const records = Object.values(set);
        const shuffled = records
          .map((record, index) => ({ record, rank: ranks[index] ?? 0 }))
          .sort((a, b) => a.rank - b.rank)
          .map(({ record }) => record);
        const results = [records, shuffled].map((list) =>
          renderResult(buildSnapshot(4, structuredClone(list)))
        );
        expect(results[1]).toBe(results[0]);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});

/** Renders as text, so that the order of map entries is compared too. */
function renderResult(result: unknown): string {
  return JSON.stringify(
    result,
    (_, value) => value instanceof Map ? [...value] : value,
  );
}
