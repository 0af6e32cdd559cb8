/**
 * Corrects a list that lacks a change of its own revision.
 *
 * VMs ignore lists that are not newer than theirs. A list that a change was lost
 * from would therefore be used, and passed on, until the next change, whatever
 * a read of the whole state shows.
 *
 * @module
 */
import { computeListDigest } from "../placement/list_digest.ts";
import { getEra } from "../placement/list_position.ts";
import type { ReplicaList } from "../placement/replica_list.ts";
import { listChanges } from "./replica_changes.ts";

/**
 * Makes a corrected list newer than the one of the store's revision, and older
 * than the store's next one and than that with retained replicas. A revision may
 * be corrected half a million times.
 */
const CORRECTION = 2 ** -20;
/** Distance of the next list with retained replicas. */
const MAX_CORRECTION = 1 / 2;

/**
 * The list to use after a read of the whole state: `read`, the known one if that
 * is the same, or `read` as a correction of it.
 */
export function buildCorrectedList(
  known: ReplicaList,
  read: ReplicaList,
): ReplicaList {
  if (getEra(known) !== getEra(read)) return read;
  const ahead = known.revision - read.revision;
  if (ahead < 0 || ahead >= MAX_CORRECTION) return read;
  if (read.replicas.some(({ isRetained }) => isRetained)) return read;
  if (isSameList(known, read)) return known;
  return { ...read, revision: known.revision + CORRECTION };
}

/** Whether two lists have the same entries, of the same processes. */
function isSameList(one: ReplicaList, other: ReplicaList): boolean {
  return computeListDigest(one) === computeListDigest(other) &&
    listChanges(one, other).length === 0;
}
