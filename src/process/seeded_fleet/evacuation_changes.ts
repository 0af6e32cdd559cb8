/**
 * Compares the evacuated data centres of two replica lists and logs the
 * changes.
 *
 * @module
 */
import type { DataCentre } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { ReplicaList } from "../placement/replica_list.ts";

/**
 * Start or end of an evacuation: replicas of an evacuated data centre get no
 * new requests.
 */
export interface EvacuationChange {
  dataCentre: DataCentre;
  isEvacuated: boolean;
}

/** Evacuations that start or end with `after`. */
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

/** Logs one line per change; `from` is the source of the list. */
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
