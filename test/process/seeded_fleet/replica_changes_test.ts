import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/index.ts";
import {
  listChanges,
  writeChanges,
  writeLateLeavings,
} from "../../../src/process/seeded_fleet/replica_changes.ts";
import { FakeLog } from "../../support/request_fakes.ts";

function buildList(
  states: Record<string, ListedReplica["state"]>,
): ReplicaList {
  const replicas = Object.entries(states).map(([id, state]) => ({
    id: toId<ListedReplica["id"]>(id),
    pool: toId<ListedReplica["pool"]>("pool"),
    address: "10.0.0.1",
    port: 1,
    dataCentre: toId<ListedReplica["dataCentre"]>("dc"),
    slots: 1,
    state,
  }));
  return { revision: 7, replicas };
}

// Guards against a VM of which nobody can tell whether it knew, from its start
// on, that a replica was leaving.
it("the line of the first list names the replicas that are leaving", () => {
  const log = new FakeLog();
  const empty = { revision: 0, replicas: [] };
  const list = buildList({
    "i-1": "ready",
    "i-2": "draining",
    "i-3": "draining",
  });
  const source = { list, from: "vm-2", isFirst: true };
  writeChanges(log, listChanges(empty, list), source);
  expect(log.lines).toEqual([{
    level: "info",
    event: "replicas_listed",
    fields: { count: 3, revision: 7, from: "vm-2", leaving: "i-2,i-3" },
  }]);
});

// Guards against a sender that nobody can tell to have known too late, since
// only its lines of single requests show by which list it sent.
it("a leaving that is learnt late is logged with the last request", () => {
  const log = new FakeLog();
  const before = buildList({ "i-1": "ready", "i-2": "ready", "i-3": "ready" });
  const list = buildList({ "i-1": "draining", "i-3": "ready" });
  const changes = listChanges(before, list);
  const view = {
    list,
    from: "vm-2",
    listAgeMs: 2_000,
    lagMs: 300.4,
    getMsSinceSent: (id: string) => id === "i-1" ? 40 : undefined,
  };
  expect(writeLateLeavings(log, changes, view)).toBe(2);
  const shared = { revision: 7, from: "vm-2", list_age_ms: 2_000, lag_ms: 300 };
  expect(log.lines).toEqual([
    {
      level: "warn",
      event: "leaving_learnt_late",
      fields: {
        replica: "i-1",
        change: "draining",
        ...shared,
        last_sent_ms: 40,
      },
    },
    {
      level: "warn",
      event: "leaving_learnt_late",
      fields: { replica: "i-2", change: "gone", ...shared },
    },
  ]);
});

it("a leaving that is learnt in time is not", () => {
  const log = new FakeLog();
  const list = buildList({ "i-1": "draining" });
  const changes = listChanges(buildList({ "i-1": "ready" }), list);
  const view = {
    list,
    from: "store",
    listAgeMs: 900,
    lagMs: 0,
    getMsSinceSent: () => undefined,
  };
  expect(writeLateLeavings(log, changes, view)).toBe(0);
  expect(log.lines).toEqual([]);
});
