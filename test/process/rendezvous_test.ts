import { describe, expect, test } from "vitest";
import {
  computeRendezvousOrder,
  pickRendezvousFirst,
} from "../../src/process/rendezvous.ts";

const IDS = Array.from({ length: 20 }, (_, index) => `entry-${index}`);

function listKeys(count: number): string[] {
  return Array.from({ length: count }, (_, index) => `shard:pool/${index}`);
}

describe("computeRendezvousOrder", () => {
  test("does not depend on the order of the ids", () => {
    const reversed = [...IDS].reverse();
    for (const key of listKeys(50)) {
      expect(computeRendezvousOrder(key, reversed))
        .toEqual(computeRendezvousOrder(key, IDS));
    }
  });

  test("moves only the keys of a removed id", () => {
    const gone = IDS[7]!;
    const rest = IDS.filter((id) => id !== gone);
    for (const key of listKeys(500)) {
      const [first, second] = computeRendezvousOrder(key, IDS);
      const after = pickRendezvousFirst(key, rest);
      expect(after).toBe(first === gone ? second : first);
    }
  });

  test("spreads keys evenly", () => {
    const counts = new Map<string, number>();
    for (const key of listKeys(20_000)) {
      const first = pickRendezvousFirst(key, IDS)!;
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    for (const id of IDS) {
      expect(counts.get(id)).toBeGreaterThan(850);
      expect(counts.get(id)).toBeLessThan(1_150);
    }
  });
});
