/**
 * Digest of a replica list's contents.
 *
 * A position says which list of the store this is, and a digest what it holds: two
 * VMs whose lists have one position and two digests differ in some entry.
 *
 * @module
 */
import type { Brand } from "../../ids.ts";
import { computeTextsHash } from "../hash.ts";
import {
  getSoftwareVersion,
  type ListedReplica,
  type ReplicaList,
} from "./replica_list.ts";

/** 32 bits; the same for lists with the same entries, in any order. */
export type ListDigest = Brand<number, "ListDigest">;

/**
 * The digest of what the store published. Left out is what depends on what a VM
 * knew before: retained replicas, and starts that an entry does not repeat.
 */
export function computeListDigest(list: ReplicaList): ListDigest {
  let sum = 0;
  for (const replica of list.replicas) {
    if (replica.isRetained) continue;
    sum = (sum + computeTextsHash(listFields(replica))) >>> 0;
  }
  for (const each of list.evacuated ?? []) {
    sum = (sum + computeTextsHash([each])) >>> 0;
  }
  return sum as ListDigest;
}

/**
 * Replicas and evacuated data centres in which two lists differ, but for what
 * digests leave out.
 */
export function listDifferences(
  one: ReplicaList,
  other: ReplicaList,
): string[] {
  const [left, right] = [buildEntries(one), buildEntries(other)];
  const names = new Set([...left.keys(), ...right.keys()]);
  return [...names].filter((name) => left.get(name) !== right.get(name));
}

/** The text of each entry, by the name of the replica or data centre. */
function buildEntries(
  { replicas, evacuated = [] }: ReplicaList,
): Map<string, string> {
  const entries = new Map<string, string>();
  for (const replica of replicas) {
    if (replica.isRetained) continue;
    entries.set(replica.id, listFields(replica).join("\n"));
  }
  for (const each of evacuated) entries.set(each, each);
  return entries;
}

function listFields(replica: ListedReplica): string[] {
  const { id, pool, address, port, dataCentre, slots, state } = replica;
  const version = getSoftwareVersion(replica);
  return [
    id,
    pool,
    address,
    String(port),
    dataCentre,
    String(slots),
    state,
    version,
  ];
}
