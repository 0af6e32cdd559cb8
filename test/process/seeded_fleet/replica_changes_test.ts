import { expect, it } from "vitest";
import { toId } from "../../../src/ids.ts";
import type {
  ListedReplica,
  ReplicaList,
} from "../../../src/process/placement/index.ts";
import {
  listChanges,
  writeChanges,
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
