/**
 * What the VM that places a pool's requests knows of one that waits there.
 *
 * @module
 */
import type { Incarnation, PoolName, VmId, WorkspaceName } from "../../ids.ts";
import type { Placement, PlacementRequest } from "../placement/index.ts";
import type { FairQueueEntry } from "../scheduler/index.ts";

/**
 * A placement request, by the process that sent it and its number there. Numbers
 * begin anew with each process.
 */
export interface PlacementRequestId {
  vm: VmId;
  /** Undefined for a VM that does not let requests wait. */
  incarnation: Incarnation | undefined;
  number: number;
}

/** How a wait ended at the VM that places the request. */
export type WaitResult =
  | { kind: "placed"; placement: Placement }
  /** A placement would come too late to be of any use to the caller. */
  | { kind: "expired" };

/** A waiting request; times are by the monotonic clock of this VM. */
export interface WaitingRequest extends FairQueueEntry {
  readonly id: PlacementRequestId;
  readonly pool: PoolName;
  readonly workspace: WorkspaceName;
  /** Lower priorities go first. */
  readonly priority: number;
  /** When a placement is no longer of any use to the caller. */
  readonly dropAt: number;
  /** Expected time at the replica, in milliseconds; 0 if unknown. */
  readonly expectedMs: number;
  readonly request: PlacementRequest;
  readonly onResult: (result: WaitResult) => void;
}

/** Key of a placement request in maps. */
export function formatRequestKey(
  { vm, incarnation, number }: PlacementRequestId,
): string {
  return `${vm} ${incarnation} ${number}`;
}
