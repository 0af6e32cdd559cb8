/**
 * The requests of one workspace in a fair queue (a flow).
 *
 * @module
 */
import type { WorkspaceName } from "../../ids.ts";
import { Heap } from "./heap.ts";
import type { FairQueueEntry } from "./waiter.ts";

/** The requests of one workspace in one fair queue. */
export interface Flow<T extends FairQueueEntry> {
  workspace: WorkspaceName;
  /** Tokens served, divided by the workspace's weight. */
  served: number;
  /** Requests that can still meet their targets, earliest start first. */
  feasible: Heap<T>;
  /** Requests that can no longer meet their targets, oldest first. */
  late: Heap<T>;
}

/** Sort key of a flow's head. */
export interface HeadKey {
  late: boolean;
  /** Latest start time, or the arrival time of a late request. */
  time: number;
  sequence: number;
}

/** Compares heads: feasible before late, then by time, then by sequence. */
export function compareHeads(left: HeadKey, right: HeadKey): number {
  if (left.late !== right.late) return left.late ? 1 : -1;
  return left.time - right.time || left.sequence - right.sequence;
}

/** Creates an empty flow that starts at `served` tokens by weight. */
export function createFlow<T extends FairQueueEntry>(
  workspace: WorkspaceName,
  served: number,
): Flow<T> {
  return {
    workspace,
    served,
    feasible: Heap.create<T>(hasEarlierStart),
    late: Heap.create<T>(hasEarlierArrival),
  };
}

/** Returns the flow's first entry; late entries come after all others. */
export function getHead<T extends FairQueueEntry>(
  flow: Flow<T>,
): T | undefined {
  return flow.feasible.getFirst() ?? flow.late.getFirst();
}

/** Returns the sort key of the head; the flow must not be empty. */
export function buildHeadKey<T extends FairQueueEntry>(flow: Flow<T>): HeadKey {
  const feasible = flow.feasible.getFirst();
  if (feasible !== undefined) {
    return { late: false, time: feasible.startBy, sequence: feasible.sequence };
  }
  const late = flow.late.getFirst()!;
  return { late: true, time: late.arrivedAt, sequence: late.sequence };
}

/** Whether the flow has no entries. */
export function isEmpty<T extends FairQueueEntry>(flow: Flow<T>): boolean {
  return flow.feasible.size === 0 && flow.late.size === 0;
}

/** Orders flows by served tokens, least first. */
export function isServedLess(
  left: { served: number; workspace: string },
  right: { served: number; workspace: string },
): boolean {
  if (left.served !== right.served) return left.served < right.served;
  return left.workspace < right.workspace;
}

function hasEarlierStart(left: FairQueueEntry, right: FairQueueEntry): boolean {
  if (left.startBy !== right.startBy) return left.startBy < right.startBy;
  return left.sequence < right.sequence;
}

function hasEarlierArrival(
  left: FairQueueEntry,
  right: FairQueueEntry,
): boolean {
  if (left.arrivedAt !== right.arrivedAt) {
    return left.arrivedAt < right.arrivedAt;
  }
  return left.sequence < right.sequence;
}
