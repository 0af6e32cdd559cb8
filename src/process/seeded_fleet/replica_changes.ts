/**
 * Compares two replica lists and logs the changes.
 *
 * @module
 */
import type { SoftwareVersion, VmId } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { ListedReplica, ReplicaList } from "../placement/replica_list.ts";

/** State change, restart or removal of a replica. */
export interface ReplicaChange {
  replica: VmId;
  change: ListedReplica["state"] | "restarted" | "new_version" | "gone";
  /** Version of its software; undefined if it publishes none or is gone. */
  version?: SoftwareVersion | undefined;
}

/** Replicas that were added or removed, changed their state, or restarted. */
export function listChanges(
  before: ReplicaList,
  after: ReplicaList,
): ReplicaChange[] {
  const old = new Map(before.replicas.map((each) => [each.id, each]));
  const changes: ReplicaChange[] = [];
  for (const replica of after.replicas) {
    const { id, state, version } = replica;
    const known = old.get(id);
    const about = { replica: id, version };
    if (known?.state !== state) changes.push({ ...about, change: state });
    if (isRestarted(known, replica)) {
      changes.push({ ...about, change: "restarted" });
    }
    if (known !== undefined && known.version !== version) {
      changes.push({ ...about, change: "new_version" });
    }
    old.delete(id);
  }
  for (const id of old.keys()) changes.push({ replica: id, change: "gone" });
  return changes;
}

function isRestarted(
  before: ListedReplica | undefined,
  after: ListedReplica,
): boolean {
  return before?.startedAt !== undefined && after.startedAt !== undefined &&
    before.startedAt !== after.startedAt;
}

/**
 * Logs one line per change, or a single line for the first list, with the
 * replicas that it names as leaving.
 */
export function writeChanges(
  log: Log,
  changes: readonly ReplicaChange[],
  /** `from` is the source of the list. */
  source: { list: ReplicaList; from: string; isFirst: boolean },
): void {
  const { from, list: { revision } } = source;
  if (source.isFirst) {
    const leaving = changes.filter(({ change }) => change === "draining")
      .map(({ replica }) => replica).join(",");
    const count = changes.length;
    log.info("replicas_listed", { count, revision, from, leaving });
    return;
  }
  for (const { replica, change, version } of changes) {
    log.info("replica_changed", { replica, change, version, revision, from });
  }
}
