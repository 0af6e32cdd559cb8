/**
 * What differs between two lists in evacuated data centres, and the log of it.
 *
 * @module
 */
import type { DataCentre } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { ReplicaList } from "../placement/replica_list.ts";

/** A data centre whose replicas get nothing new from now on, or do again. */
export interface EvacuationChange {
  dataCentre: DataCentre;
  isEvacuated: boolean;
}

/** Evacuations that begin or end with `after`. */
export function listEvacuations(
  before: ReplicaList,
  after: ReplicaList,
): EvacuationChange[] {
  const old = before.evacuated ?? [];
  const current = after.evacuated ?? [];
  const begun = current.filter((each) => !old.includes(each))
    .map((dataCentre) => ({ dataCentre, isEvacuated: true }));
  const ended = old.filter((each) => !current.includes(each))
    .map((dataCentre) => ({ dataCentre, isEvacuated: false }));
  return [...begun, ...ended];
}

/** Writes a line for each; `from` names who told of the list. */
export function writeEvacuations(
  log: Log,
  changes: readonly EvacuationChange[],
  { list, from }: { list: ReplicaList; from: string },
): void {
  for (const { dataCentre, isEvacuated } of changes) {
    log.warn("data_centre_evacuated", {
      data_centre: dataCentre,
      evacuated: isEvacuated,
      revision: list.revision,
      from,
    });
  }
}
