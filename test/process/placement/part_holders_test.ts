import { describe, expect, it } from "vitest";
import { toId, type VmId } from "../../../src/ids.ts";
import type { LoadedReplica } from "../../../src/process/placement/interactive_replicas.ts";
import { listHolders } from "../../../src/process/placement/part_holders.ts";

const PARTS = Array.from({ length: 400 }, (_, index) => `part-${index}`);

function buildPool(size: number): LoadedReplica[] {
  return Array.from({ length: size }, (_, index) => ({
    replica: {
      id: toId<VmId>(`i-${index}`),
      pool: toId("pool"),
      address: "10.0.0.1",
      port: 80,
      dataCentre: toId("dc"),
      slots: 16,
      state: "ready",
    },
    load: { pendingTokens: 0, deferredTokens: 0, running: 0, interactive: 0 },
    prefillShare: 0,
  }));
}

function listNames(holders: readonly LoadedReplica[]): VmId[] {
  return holders.map(({ replica }) => replica.id);
}

// Guards against every replica prefilling every document again and again. With
// prompts about hundreds of documents on fifty replicas, each prompt goes to
// the least loaded replica, which evicts cached parts before they are used
// again.
describe("the holders of a shared part", () => {
  it("are two in a large pool, the same in any order", () => {
    const pool = buildPool(50);
    for (const part of PARTS) {
      const names = listNames(listHolders(pool, part, pool.length));
      expect(names).toHaveLength(2);
      const turned = listHolders(pool.toReversed(), part, pool.length);
      expect(listNames(turned)).toEqual(names);
    }
  });

  it("are spread evenly over the replicas", () => {
    const pool = buildPool(50);
    const counts = new Map<VmId, number>();
    for (const part of PARTS) {
      for (const name of listNames(listHolders(pool, part, pool.length))) {
        counts.set(name, (counts.get(name) ?? 0) + 1);
      }
    }
    expect(counts.size).toBe(pool.length);
    expect(Math.max(...counts.values())).toBeLessThan(40);
  });

  it("change only for the parts of a replica that leaves", () => {
    const pool = buildPool(50);
    const rest = pool.slice(1);
    const moved = PARTS.filter((part) => {
      const before = listNames(listHolders(pool, part, pool.length));
      const after = listNames(listHolders(rest, part, rest.length));
      return before.join() !== after.join();
    });
    expect(moved.length).toBeLessThan(40);
  });

  it("are joined by two more where both are far behind", () => {
    const pool = buildPool(50);
    const [hot] = PARTS;
    const first = listHolders(pool, hot, pool.length);
    for (const { load } of first) load.pendingTokens = 60_000;
    const joined = listNames(listHolders(pool, hot, pool.length));
    expect(joined).toHaveLength(4);
    expect(joined.slice(0, 2)).toEqual(listNames(first));
    // Equally loaded holders are not far behind.
    for (const { load } of pool) load.pendingTokens = 60_000;
    expect(listHolders(pool, hot, pool.length)).toHaveLength(2);
  });

  it("are all replicas in a small pool, and without a shared part", () => {
    const pool = buildPool(6);
    expect(listHolders(pool, PARTS[0], pool.length)).toHaveLength(6);
    const large = buildPool(50);
    expect(listHolders(large, undefined, large.length)).toHaveLength(50);
  });
});
