/**
 * Compares two replica lists and logs the changes.
 *
 * @module
 */
import type { SoftwareVersion, VmId } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { ListedReplica, ReplicaList } from "../placement/replica_list.ts";

/**
 * A VM whose list is confirmed in time learns of a leaving while its list is
 * younger than this.
 */
const LATE_LEAVING_MS = 1_700;

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

/** What a VM knew of a replica until it learnt that it is leaving. */
export interface LeavingView {
  list: ReplicaList;
  from: string;
  /** Age of the list before, in milliseconds; below 0 for never confirmed. */
  listAgeMs: number;
  /** Time for which other VMs have had a newer list, in milliseconds. */
  lagMs: number;
  /** Milliseconds since the last request to it; undefined for none. */
  getMsSinceSent: (replica: VmId) => number | undefined;
}

/** Logs replicas of whose leaving this VM may have learnt late; counts them. */
export function writeLateLeavings(
  log: Log,
  changes: readonly ReplicaChange[],
  { list, from, listAgeMs, lagMs, getMsSinceSent }: LeavingView,
): number {
  if (listAgeMs < LATE_LEAVING_MS && lagMs < LATE_LEAVING_MS) return 0;
  const leaving = changes.filter(({ change }) =>
    change === "draining" || change === "gone"
  );
  for (const { replica, change } of leaving) {
    log.warn("leaving_learnt_late", {
      replica,
      change,
      revision: list.revision,
      from,
      list_age_ms: listAgeMs,
      lag_ms: Math.round(lagMs),
      last_sent_ms: getMsSinceSent(replica),
    });
  }
  return leaving.length;
}
