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
  // Guards against an upstream that gets no work because its cached shard no
  // longer exists: the number of shards can change, so that results must be
  // cached per pool record, not per pool name.
  it("uses the pool's current number of shards despite the cache", () => {
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

  it("returns the only shard of a pool with one shard", () => {
    const pool = buildPool({ shards: 1 });
    for (const upstream of UPSTREAMS) {
      expect(chooseShardOfUpstream(pool, upstream)).toBe("pool/0");
    }
  });
});
