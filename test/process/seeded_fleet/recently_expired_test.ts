import { describe, expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/replica_list.ts";
import { ReplicaDirectory } from "../../../src/process/placement/replica_list.ts";
import { RecentlyExpired } from "../../../src/process/seeded_fleet/recently_expired.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

function buildReplica(id: string): ListedReplica {
  return {
    id: toId(id),
    pool: toId("pool"),
    address: "10.0.0.1",
    port: 80,
    dataCentre: toId("dc"),
    slots: 4,
    state: "ready",
  };
}

function buildList(revision: number, ids: string[]): ReplicaList {
  return { revision, replicas: ids.map(buildReplica) };
}

function listIds(list: ReplicaList): string[] {
  return list.replicas.map((replica) => replica.id);
}

describe("replicas whose entries lapsed", () => {
  // Symptom: a replica that left gets new work for seconds.
  // Sequence: nothing changes for longer than an outage would last; then a
  // replica leaves, and its entry is removed.
  // Cause: a store without news was taken for a store that was away.
  it("are gone at once where the store was never away", async () => {
    const clock = VirtualClock.create();
    const lapsed = RecentlyExpired.create(clock);
    await clock.run(5_000);
    const list = lapsed.apply(buildList(2, ["b"]), buildList(1, ["a", "b"]));
    expect(listIds(list)).toEqual(["b"]);
    expect(list.revision).toBe(2);
  });

  // Symptom: every request is refused after an outage of the store.
  // Sequence: entries run out while nobody can renew them; the store returns.
  // Cause: the first list after its return was taken at its word.
  it("are kept for two seconds after the store was away", async () => {
    const clock = VirtualClock.create();
    const lapsed = RecentlyExpired.create(clock);
    const directory = ReplicaDirectory.create();
    directory.apply(buildList(1, ["a", "b"]));
    lapsed.noteReturn(4_000);
    directory.apply(lapsed.apply(buildList(3, []), directory.getList()));
    expect(listIds(directory.getList()).sort()).toEqual(["a", "b"]);
    await clock.run(500);
    directory.apply(lapsed.apply(buildList(4, ["a"]), directory.getList()));
    expect(listIds(directory.getList()).sort()).toEqual(["a", "b"]);
    await clock.run(2_000);
    // The store's revision is the same; its list counts as newer all the same.
    directory.apply(lapsed.apply(buildList(4, ["a"]), directory.getList()));
    expect(listIds(directory.getList())).toEqual(["a"]);
  });

  it("are not kept after a short silence", () => {
    const lapsed = RecentlyExpired.create(VirtualClock.create());
    lapsed.noteReturn(300);
    const list = lapsed.apply(buildList(2, []), buildList(1, ["a"]));
    expect(listIds(list)).toEqual([]);
  });
});
