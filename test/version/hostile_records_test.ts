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
  it("are refused when nested too deep, without a stack overflow", () => {
    // Symptom: a VM stops with a RangeError on a version that others take.
    // Sequence: a record nested 100,000 levels deep is published. Cause: a
    // recursive check, whose depth depends on the size of the VM's stack.
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

  it("are refused when they are cyclic", () => {
    const value: Record<string, unknown> = { ...buildRawRecords().chat };
    value.self = value;
    expect(findProblems([value])).toHaveLength(1);
  });

  it("are refused when they are huge", () => {
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

  it("set no prototype", () => {
    // Symptom: a workspace has limits that its record does not hold. Sequence:
    // a record with a `__proto__` field is read and its fields are copied.
    // Cause: a copy by assignment sets the prototype of the copy.
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

  it("of any JSON type are refused without a throw", () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        expect(parseRecord(value).kind).toBe("invalid");
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });

  it("with any one field replaced never throw", () => {
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
