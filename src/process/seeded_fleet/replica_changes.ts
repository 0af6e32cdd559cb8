/**
 * What differs between two lists of replicas, and the log of it.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { ReplicaList } from "../placement/replica_list.ts";

/** A replica and its new state, or that it is gone. */
export interface ReplicaChange {
  replica: VmId;
  change: string;
}

/** Replicas whose state is another one in `after`. */
export function listChanges(
  before: ReplicaList,
  after: ReplicaList,
): ReplicaChange[] {
  const old = new Map(before.replicas.map((each) => [each.id, each.state]));
  const changes: ReplicaChange[] = [];
  for (const { id, state } of after.replicas) {
    if (old.get(id) !== state) changes.push({ replica: id, change: state });
    old.delete(id);
  }
  for (const id of old.keys()) changes.push({ replica: id, change: "gone" });
  return changes;
}

/** Writes a line for each change, or one for a first list. */
export function writeChanges(
  log: Log,
  changes: readonly ReplicaChange[],
  /** `from` names who told of the list. */
  source: { list: ReplicaList; from: string; isFirst: boolean },
): void {
  const { from, list: { revision } } = source;
  if (source.isFirst) {
    log.info("replicas_listed", { count: changes.length, revision, from });
    return;
  }
  for (const { replica, change } of changes) {
    log.info("replica_changed", { replica, change, revision, from });
  }
}
