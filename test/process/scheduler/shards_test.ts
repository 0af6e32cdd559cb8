import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import { pickRendezvousFirst } from "../../../src/process/rendezvous.ts";
import {
  chooseShardOfUpstream,
  listPoolShards,
} from "../../../src/process/scheduler/index.ts";
import { buildPool } from "./fixtures.ts";

const UPSTREAMS = Array.from(
  { length: 300 },
  (_, index) => toId<VmId>(`engine-${index}`),
);

describe("chooseShardOfUpstream", () => {
  // Symptom: an upstream stands in a shard that the pool no longer has, and
  // gets no work. Sequence: the answer is kept, then the records give the pool
  // another number of shards. Cause: answers kept by the pool's name.
  it("follows a changed number of shards, however often it was asked", () => {
    const few = buildPool({ shards: 3 });
    const many = buildPool({ shards: 17 });
    for (const pool of [few, many, few, many]) {
      for (const upstream of UPSTREAMS) {
        const expected = pickRendezvousFirst(
          `upstream:${upstream}`,
          listPoolShards(pool),
        );
        expect(chooseShardOfUpstream(pool, upstream)).toBe(expected);
      }
    }
  });

  it("gives the first shard of a pool that has one", () => {
    const pool = buildPool({ shards: 1 });
    for (const upstream of UPSTREAMS) {
      expect(chooseShardOfUpstream(pool, upstream)).toBe("pool/0");
    }
  });
});
