import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { buildSnapshot, parseRecord } from "../../src/version/index.ts";
import { buildRawRecords, findProblems } from "./record_fixtures.ts";

const SEED = 20_252;
const RUNS = 1_000;
const DEEP = 100_000;

function buildDeepText(levels: number): string {
  return `${'{"a":'.repeat(levels)}1${"}".repeat(levels)}`;
}

function buildDeepValue(levels: number): unknown {
  let value: unknown = 1;
  for (let level = 0; level < levels; level += 1) value = [value];
  return value;
}

describe("hostile records", () => {
  it("are rejected if nested too deeply, without a stack overflow", () => {
    // Guards against a VM crashing with a RangeError on a version that others
    // accept: a recursive check of a record nested 100,000 levels deep
    // overflows the stack, depending on the VM's stack size.
    const values = [
      buildDeepValue(DEEP),
      { ...buildRawRecords().chat, name: buildDeepValue(DEEP) },
      JSON.parse(buildDeepText(500)),
    ];
    for (const value of values) {
      expect(findProblems([value])[0]?.expected).toBe(
        "at most 8 levels of nesting",
      );
    }
  });

  it("are rejected if they are cyclic", () => {
    const value: Record<string, unknown> = { ...buildRawRecords().chat };
    value.self = value;
    expect(findProblems([value])).toHaveLength(1);
  });

  it("are rejected if they are huge", () => {
    const wide = Array.from({ length: 1_000_000 }, () => 1);
    const values = [
      wide,
      { ...buildRawRecords().web, classes: wide },
      { ...buildRawRecords().web, name: "a".repeat(1_000_000) },
    ];
    for (const value of values) {
      const [problem] = findProblems([value]);
      expect(problem?.expected).toMatch(/^(at most|a text of at most) /);
      expect(JSON.stringify(problem).length).toBeLessThan(500);
    }
    expect(findProblems(Array.from({ length: 100_001 }))).toHaveLength(1);
  });

  it("do not set a prototype", () => {
    // Guards against a workspace with limits that its record does not contain:
    // copying a `__proto__` field by assignment sets the prototype of the copy.
    const texts = [
      '{"__proto__":{"limits":1}}',
      '{"limits":{"__proto__":{"requests_per_minute":1}}}',
      '{"objectives":{"__proto__":{"chat":0.1}}}',
    ];
    for (const text of texts) {
      const record = {
        ...JSON.parse(JSON.stringify(buildRawRecords().desk)),
      };
      for (const [key, value] of Object.entries(JSON.parse(text))) {
        Object.defineProperty(record, key, { value, enumerable: true });
      }
      expect(findProblems([record])[0]?.expected)
        .toBe("no field named __proto__");
    }
  });

  it("of any JSON type are rejected without an exception", () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(parseRecord(value).kind).toBe("invalid");
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("with any one field replaced never cause an exception", () => {
    const set = Object.values(buildRawRecords());
    const places = set.flatMap((record, index) =>
      Object.keys(record).map((field) => ({ index, field }))
    );
    fc.assert(
      fc.property(
        fc.constantFrom(...places),
        fc.anything({ maxDepth: 3, withNullPrototype: true }),
        ({ index, field }, value) => {
          const records = set.map((record, at) =>
            at === index ? { ...record, [field]: value } : record
          );
          const result = buildSnapshot(1, records);
          if (result.kind === "accepted") return;
          expect(result.problems.length).toBeGreaterThan(0);
        },
      ),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
