/**
 * One workspace's requests in the order of a class.
 *
 * @module
 */
import type { WorkspaceName } from "../../ids.ts";
import { Heap } from "./heap.ts";
import type { QueueEntry } from "./waiter.ts";

/** The requests of one workspace in one order. */
export interface Flow<T extends QueueEntry> {
  workspace: WorkspaceName;
  /** Tokens served divided by weight. */
  served: number;
  /** Can still meet their targets, the earliest start first. */
  feasible: Heap<T>;
  /** Cannot any more, the first come first. */
  late: Heap<T>;
}

/** Where the head of an order stands against those of other orders. */
export interface HeadKey {
  late: boolean;
  /** The latest start, or the time of arrival of a late one. */
  at: number;
  order: number;
}

/** Compares heads: feasible before late, then the earlier time. */
export function compareHeads(left: HeadKey, right: HeadKey): number {
  if (left.late !== right.late) return left.late ? 1 : -1;
  return left.at - right.at || left.order - right.order;
}

/** An empty flow that counts `served` tokens by weight as served. */
export function createFlow<T extends QueueEntry>(
  workspace: WorkspaceName,
  served: number,
): Flow<T> {
  return {
    workspace,
    served,
    feasible: Heap.create<T>(isStartedSooner),
    late: Heap.create<T>(isArrivedSooner),
  };
}

/** The entry that goes first of the flow; a late one goes last. */
export function getHead<T extends QueueEntry>(flow: Flow<T>): T | undefined {
  return flow.feasible.getFirst() ?? flow.late.getFirst();
}

/** The key of the head of a flow that is not empty. */
export function buildHeadKey<T extends QueueEntry>(flow: Flow<T>): HeadKey {
  const feasible = flow.feasible.getFirst();
  if (feasible !== undefined) {
    return { late: false, at: feasible.startBy, order: feasible.sequence };
  }
  const late = flow.late.getFirst()!;
  return { late: true, at: late.arrivedAt, order: late.sequence };
}

/** Whether the flow has no entries. */
export function isEmpty<T extends QueueEntry>(flow: Flow<T>): boolean {
  return flow.feasible.size === 0 && flow.late.size === 0;
}

/** Orders flows by what they were served, the least first. */
export function isServedLess(
  left: { served: number; workspace: string },
  right: { served: number; workspace: string },
): boolean {
  if (left.served !== right.served) return left.served < right.served;
  return left.workspace < right.workspace;
}

function isStartedSooner(left: QueueEntry, right: QueueEntry): boolean {
  if (left.startBy !== right.startBy) return left.startBy < right.startBy;
  return left.sequence < right.sequence;
}

function isArrivedSooner(left: QueueEntry, right: QueueEntry): boolean {
  if (left.arrivedAt !== right.arrivedAt) {
    return left.arrivedAt < right.arrivedAt;
  }
  return left.sequence < right.sequence;
}
