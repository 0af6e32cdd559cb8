import { describe, expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/replica_list.ts";
import { ReplicaDirectory } from "../../../src/process/placement/replica_list.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { RecentlyExpired } from "../../../src/process/seeded_fleet/recently_expired.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

function createExpired(clock: VirtualClock): RecentlyExpired {
  const log = SilentLog.create();
  return RecentlyExpired.create({ clock, log, entryRenewalMs: 1_200 });
}

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

describe("replicas whose entries expired", () => {
  // Guards against a replica that gets new requests for seconds after it left.
  // Nothing changes for longer than an outage would last; then a replica leaves
  // and its entry is removed. A store without changes must not be taken for an
  // unavailable one.
  it("are removed at once if the store was never unavailable", async () => {
    const clock = VirtualClock.create();
    const expired = createExpired(clock);
    await clock.run(5_000);
    const list = expired.apply(buildList(2, ["b"]), buildList(1, ["a", "b"]));
    expect(listIds(list)).toEqual(["b"]);
    expect(list.revision).toBe(2);
  });

  // Guards against a pool whose requests are all refused after an outage of the
  // store. Entries expire while they cannot be renewed, and the first list
  // after the outage lacks these replicas.
  it("are retained for two seconds after an outage of the store", async () => {
    const clock = VirtualClock.create();
    const expired = createExpired(clock);
    const directory = ReplicaDirectory.create();
    directory.apply(buildList(1, ["a", "b"]));
    expired.noteStoreRegained({ unansweredMs: 4_000, failingMs: 4_000 });
    directory.apply(expired.apply(buildList(3, []), directory.getList()));
    expect(listIds(directory.getList()).sort()).toEqual(["a", "b"]);
    await clock.run(500);
    directory.apply(expired.apply(buildList(4, ["a"]), directory.getList()));
    expect(listIds(directory.getList()).sort()).toEqual(["a", "b"]);
    await clock.run(2_000);
    // The revision of the store is unchanged, yet its list counts as newer.
    directory.apply(expired.apply(buildList(4, ["a"]), directory.getList()));
    expect(listIds(directory.getList())).toEqual(["a"]);
  });

  it("are not retained after a short failure of the store", () => {
    const expired = createExpired(VirtualClock.create());
    expired.noteStoreRegained({ unansweredMs: 300, failingMs: 300 });
    const list = expired.apply(buildList(2, []), buildList(1, ["a"]));
    expect(listIds(list)).toEqual([]);
  });

  it("are not retained after a single failed call beside an old list", () => {
    const expired = createExpired(VirtualClock.create());
    expired.noteStoreRegained({ unansweredMs: 4_000, failingMs: 1_100 });
    const list = expired.apply(buildList(2, []), buildList(1, ["a"]));
    expect(listIds(list)).toEqual([]);
  });

  // Guards against a replica that is used without end after it left, by a VM
  // whose path to the store fails again and again.
  it("are dropped in time although the store fails again", async () => {
    const clock = VirtualClock.create();
    const expired = createExpired(clock);
    const directory = ReplicaDirectory.create();
    directory.apply(buildList(1, ["a", "b"]));
    for (let revision = 2; revision <= 6; revision++) {
      expired.noteStoreRegained({ unansweredMs: 3_000, failingMs: 3_000 });
      directory.apply(
        expired.apply(buildList(revision, ["b"]), directory.getList()),
      );
      await clock.run(1_500);
    }
    expect(listIds(directory.getList())).toEqual(["b"]);
  });

  it("do not return to a VM that has dropped them", () => {
    const expired = createExpired(VirtualClock.create());
    const directory = ReplicaDirectory.create();
    directory.apply(buildList(2, ["b"]));
    expired.noteStoreRegained({ unansweredMs: 4_000, failingMs: 4_000 });
    const retained = expired.apply(
      buildList(4, ["b"]),
      buildList(1, ["a", "b"]),
    );
    expect(listIds(retained).sort()).toEqual(["a", "b"]);
    directory.apply(retained);
    expect(listIds(directory.getList())).toEqual(["b"]);
  });
});
