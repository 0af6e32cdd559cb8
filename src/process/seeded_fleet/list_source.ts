/**
 * How a VM got a newer list, and what it knows of the lists between that one and
 * the one before.
 *
 * @module
 */
import type { PoolName, SoftwareVersion } from "../../ids.ts";
import type { ListedReplica } from "../placement/replica_list.ts";

/** A software version that a pool's replicas run no more. */
export type FormerVersion = [
  pool: PoolName,
  version: SoftwareVersion,
  /** Milliseconds since it was last listed. */
  agoMs: number,
];

/** The software versions of the lists of some time, none of them left out. */
export interface VersionRecord {
  /** Revision of the first of these lists. */
  sinceRevision: number;
  /** Its era; undefined for none. */
  sinceEra?: number | undefined;
  /** Age of the first of these lists, in milliseconds. */
  forMs: number;
  /** What the last of these lists has no more. */
  former: FormerVersion[];
}

/** Where a list came from. */
export type ListSource =
  /** The store told each change since the list before. */
  | { kind: "changes"; listed: readonly ListedReplica[] }
  /** Another VM gave it, and which versions it has seen. */
  | { kind: "record"; record: VersionRecord }
  /** Lists may have been left out. */
  | { kind: "unknown" };
