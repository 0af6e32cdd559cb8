import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  buildRecordGroups,
  parseGroup,
  parseIndex,
} from "../../src/version/index.ts";

const SEED = 20_254;
const MAX_BYTES = 200;

describe("buildRecordGroups", () => {
  it("includes every record and limits the size of each value", () => {
    const records = fc.array(fc.record({
      kind: fc.constantFrom("tier", "workspace", "../x"),
      name: fc.string({ unit: "binary", maxLength: 20 }),
    }));
    fc.assert(
      fc.property(records, (list) => {
        const groups = buildRecordGroups(list, MAX_BYTES);
        for (const group of groups) {
          const text = JSON.stringify({ records: group.records });
          expect(Buffer.byteLength(text)).toBeLessThanOrEqual(MAX_BYTES);
        }
        const kept = groups.flatMap((group) => group.records);
        expect(new Set(kept)).toEqual(new Set(list));
        expect(kept).toHaveLength(list.length);
        const names = groups.map(({ name }) => [name, 1]);
        const index = { version: 1, groups: Object.fromEntries(names) };
        expect(parseIndex(index).groups.size).toBe(groups.length);
      }),
      { seed: SEED },
    );
  });

  it("refuses a record that is too large by itself", () => {
    const record = { kind: "tier", name: "a".repeat(MAX_BYTES) };
    expect(() => buildRecordGroups([record], MAX_BYTES)).toThrow(/less than/);
  });
});

describe("parseIndex and parseGroup", () => {
  it("refuse values with an unexpected structure", () => {
    const texts = [
      "null",
      '{"version":0,"groups":{}}',
      '{"version":1,"groups":{"../x":1}}',
      '{"version":1,"groups":{"a":"1"}}',
      '{"version":1,"groups":{"__proto__":1}}',
      '{"version":1,"groups":{},"more":1}',
    ];
    for (const text of texts) {
      expect(() => parseIndex(JSON.parse(text)), text).toThrow(/Index/);
    }
    expect(() => parseGroup({ records: {} })).toThrow(/\$\.records/);
    expect(() => parseGroup([])).toThrow(/Group/);
  });
});
