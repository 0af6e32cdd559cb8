import { describe, expect, it } from "vitest";
import { compareSnapshots } from "../../src/version/index.ts";
import { buildAccepted, buildRawRecords } from "./record_fixtures.ts";
import type { RawRecords } from "./record_fixtures.ts";

function compareAfter(change: (set: RawRecords) => void) {
  const set = buildRawRecords();
  const before = buildAccepted(Object.values(set));
  change(set);
  return compareSnapshots(before, buildAccepted(Object.values(set)));
}

describe("compareSnapshots", () => {
  it("finds no changes if only the schema version differs", () => {
    const changes = compareAfter((set) => {
      const { requests_per_minute, tokens_per_minute, ...web } = set.web ?? {};
      const limits = { requests_per_minute, tokens_per_minute };
      set.web = { ...web, schema: 2, limits };
    });
    expect(changes).toEqual([]);
  });

  it("lists the workspaces that a change of a class affects", () => {
    const changes = compareAfter((set) => {
      Object.assign(set.desk ?? {}, {
        classes: ["hold"],
        default_class: "hold",
        objectives: {},
      });
      Object.assign(set.chat ?? {}, { first_token_ms: 900 });
    });
    expect(changes[0]).toEqual({
      kind: "request_class",
      name: "chat",
      change: "changed",
      fields: [{ path: "$.targets.firstTokenMs", before: 1_400, after: 900 }],
      classes: ["chat"],
      workspaces: ["desk", "web"],
      text: "Request class chat: targets.firstTokenMs goes from 1400 to 900. " +
        "Affects desk, web.",
    });
    expect(changes[1]).toMatchObject({
      name: "desk",
      classes: ["chat", "hold"],
      workspaces: ["desk"],
    });
  });

  it("describes the impact of changes to a tier, a pool and the policy", () => {
    const changes = compareAfter((set) => {
      Object.assign(set.low ?? {}, { rank: 5 });
      delete set.engines;
      delete set.policy;
    });
    expect(changes.map(({ text }) => text)).toEqual([
      "Tier low: rank goes from 1 to 5. Affects hold of desk, web.",
      "Upstream pool engines is removed. " +
      "May affect every workspace that calls it.",
      expect.stringMatching(/^Policy default: .*Affects every workspace\.$/),
    ]);
  });

  it("omits key hashes from the text", () => {
    const [change] = compareAfter((set) => {
      Object.assign(set.web ?? {}, { key_hashes: ["a".repeat(64)] });
    });
    expect(change?.text).toBe(
      "Workspace web: its keys change. Its classes: chat, hold.",
    );
  });
});
