import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  applyDeltas,
  DeltaHistory,
  mergeRecords,
} from "../../src/process/configuration_deltas.ts";
import {
  computeDigest,
  RecordCache,
} from "../../src/process/configuration_records.ts";
import { ConfigurationStore } from "../../src/process/configuration_store.ts";
import { buildSnapshot } from "../../src/version/index.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import {
  buildLargeRecords,
  buildWorkspace,
} from "../../bench/slopes/large_records.ts";
import { getVm, isEverywhere, startFleet } from "../support/fleet_steps.ts";

const WORKSPACES = 400;
const RECORD = fc.record({ name: fc.nat(6), value: fc.nat(3) });
const CONTENT = fc.array(RECORD, { maxLength: 12 });

function toContent(records: unknown[]) {
  return { records, digest: computeDigest(records) };
}

function buildVersion(version: number): unknown[] {
  const records = buildLargeRecords(WORKSPACES);
  records[records.length - 1 - version] = buildWorkspace(
    WORKSPACES - 1 - version,
    version,
  );
  return records;
}

describe("configuration deltas", () => {
  it("convert any stored content to the newest, or are not available", () => {
    fc.assert(fc.property(fc.array(CONTENT, { minLength: 2 }), (contents) => {
      const history = DeltaHistory.create();
      const all = contents.map(toContent);
      all.slice(1).forEach((to, index) => history.add(all[index]!, to));
      for (const content of all) {
        const deltas = history.listFrom(content.digest);
        if (deltas === undefined) continue;
        const sent = JSON.parse(JSON.stringify(deltas));
        expect(applyDeltas(content, sent)).toEqual(all.at(-1));
      }
    }));
  });

  it("contain only the changed records", () => {
    const history = DeltaHistory.create();
    const from = toContent(buildVersion(1));
    const to = toContent(buildVersion(2));
    history.add(from, to);
    const splices = history.listFrom(from.digest)!
      .flatMap((delta) => delta.splices);
    expect(splices.map(({ add }) => add.length)).toEqual([1, 1]);
  });

  // A VM with a newer release may send deltas in an unknown format or for other
  // records. Without a check of their shape, applying them throws.
  it("are rejected if they do not apply", () => {
    const content = toContent([1, 2, 3]);
    const from = content.digest;
    const bad: unknown[] = [
      undefined,
      7,
      [],
      [null],
      [{ from: "other", to: "x", splices: [] }],
      [{ from, to: 5, splices: [] }],
      [{ from, to: "x", splices: 5 }],
      [{ from, to: "x", splices: [null] }],
      [{ from, to: "x", splices: [{ at: 3, remove: 1, add: [] }] }],
      [{ from, to: "x", splices: [{ at: -1, remove: 0, add: [] }] }],
      [{ from, to: "x", splices: [{ at: 0, remove: 0, add: "ab" }] }],
    ];
    for (const deltas of bad) {
      expect(applyDeltas(content, deltas)).toBeUndefined();
    }
  });

  it("reuse the objects of unchanged records", () => {
    fc.assert(fc.property(CONTENT, CONTENT, (known, records) => {
      expect(mergeRecords(known, records)).toEqual(records);
    }));
    const known = buildVersion(1);
    const reused = mergeRecords(known, buildVersion(1));
    expect(reused.every((record, index) => record === known[index])).toBe(true);
  });

  // If the result of deltas is not checked against the digest that they state,
  // two VMs can have different records under one version.
  it("are rejected if their result does not have the stated digest", () => {
    const store = ConfigurationStore.create(VirtualClock.create());
    const records = buildVersion(1);
    store.apply({ version: 1, records, from: "service" });
    const from = computeDigest(records);
    const next = buildVersion(2);
    const splices = [{ at: 0, remove: records.length, add: next }];
    const to = computeDigest(next);
    expect(store.buildRecords([{ from, to, splices }])).toEqual(next);
    const wrong = [{ at: 0, remove: 0, add: [] }];
    expect(store.buildRecords([{ from, to, splices: wrong }])).toBeUndefined();
  });
});

describe("deltas between VMs", () => {
  // Without deltas, each VM receives and sends all records at each update: a
  // megabyte with some thousand workspaces.
  it("cost little more than the changed record", async () => {
    const fleet = await startFleet({ count: 16 });
    fleet.service.putVersion(2, buildVersion(2));
    await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
    await fleet.clock.run(2_000);
    const countBytes = () =>
      fleet.list().reduce((sum, { listed }) => {
        return sum + fleet.network.getTraffic(listed.id).bytesReceived;
      }, 0);
    const before = countBytes();
    fleet.service.putVersion(3, buildVersion(3));
    const took = await fleet.runUntil(() => isEverywhere(fleet, 3), 10_000);
    expect(took).toBeLessThan(1_000);
    const fullSize = JSON.stringify(buildVersion(3)).length;
    const each = (countBytes() - before) / fleet.list().length;
    expect(each).toBeLessThan(fullSize / 20);
  });

  it("update a VM that missed many versions to the same records", async () => {
    const fleet = await startFleet({ count: 8 });
    fleet.service.putVersion(2, buildVersion(2));
    await fleet.runUntil(() => isEverywhere(fleet, 2), 10_000);
    const { id } = getVm(fleet, 5).listed;
    const others = fleet.list().map(({ listed }) => listed.id)
      .filter((vm) => vm !== id);
    fleet.network.cutBetween([id], others);
    fleet.service.reachableBy = new Set(others);
    for (let version = 3; version < 12; version++) {
      fleet.service.putVersion(version, buildVersion(version));
      await fleet.clock.run(2_000);
    }
    fleet.network.heal();
    await fleet.runUntil(() => isEverywhere(fleet, 11), 30_000);
    const expected = buildSnapshot(11, buildVersion(11));
    for (const { follower } of fleet.list()) {
      const snapshot = follower.getSnapshot();
      expect({ kind: "accepted", snapshot }).toEqual(expected);
    }
  });
});

describe("RecordCache", () => {
  // VMs of two releases may compute the digest from cached texts or from the
  // complete list. If the two differed, every version would look like a
  // conflict.
  it("returns the same digest as the complete list", () => {
    const cache = RecordCache.create();
    fc.assert(fc.property(fc.array(fc.jsonValue()), (values) => {
      const records = JSON.parse(JSON.stringify(values)) as unknown[];
      expect(cache.computeDigest(records)).toBe(computeDigest(records));
      expect(cache.computeDigest(records)).toBe(computeDigest(records));
    }));
  });
});
