/**
 * Estimates how long a request will wait and when a refused one should retry.
 *
 * @module
 */
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import type { WorkspaceBacklog } from "./class_queue.ts";

/** Bounds of the retry delay that a refused caller gets. */
const MIN_RETRY_AFTER_MS = 200;
const MAX_RETRY_AFTER_MS = 120_000;
/** Share of the slots assumed for a tier when higher tiers use all of them. */
const MIN_SLOT_SHARE = 0.05;

/** The state of one class that an expected wait depends on. */
export interface WaitingClass {
  readonly className: ClassName;
  readonly rank: number;
  readonly requestClass: RequestClass;
  readonly size: number;
  readonly slotMs: number;
  readonly weight: number;
  readonly backlogs: ReadonlyMap<WorkspaceName, WorkspaceBacklog>;
}

/** The state of the shard that an expected wait depends on. */
export interface ShardLoad {
  slots: number;
  freeSlots: number;
  usedByHigherTiers: number;
  /** Maximum number of slots that the tier may use. */
  tierCap: number;
  /** Slots used by the tier. */
  usedByTier: number;
  classes: Iterable<WaitingClass>;
}

/** The request to estimate the wait of. */
export interface WaitQuery {
  rank: number;
  className: ClassName;
  workspace: WorkspaceName;
  weight: number;
  requestClass: RequestClass;
  /** Expected time of the request in a slot. */
  slotMs: number;
}

/** Returns the number of slots that the tier of `load` can use. */
export function computeUsableSlots(load: ShardLoad): number {
  const minSlots = Math.max(1, MIN_SLOT_SHARE * load.slots);
  const availableSlots = Math.max(
    minSlots,
    load.slots - load.usedByHigherTiers,
  );
  return Math.min(availableSlots, Math.max(1, load.tierCap));
}

/**
 * Returns the expected wait of a new request in milliseconds: the slot time
 * queued ahead of it, divided by the slots that its tier can use.
 */
export function computeExpectedWait(
  query: WaitQuery,
  load: ShardLoad,
): number {
  let aheadMs = 0;
  for (const queue of load.classes) {
    if (queue.size === 0) continue;
    aheadMs += computeAhead(query, queue);
  }
  const hasFreeSlot = load.freeSlots > 0 && load.usedByTier < load.tierCap;
  if (aheadMs === 0 && hasFreeSlot) return 0;
  return (aheadMs + query.slotMs) / computeUsableSlots(load);
}

/** Returns the slot time of `queue` that is ahead of the request. */
function computeAhead(
  query: WaitQuery,
  queue: WaitingClass,
): number {
  if (queue.rank < query.rank) return queue.slotMs;
  if (queue.rank > query.rank) return 0;
  if (queue.className === query.className) {
    return computeAheadInClass(query, queue);
  }
  // Within a tier the earliest start goes first: only the part of the other
  // class that must start before this request's target is ahead of it.
  const target = query.requestClass.targets.firstTokenMs;
  const otherTarget = queue.requestClass.targets.firstTokenMs;
  return queue.slotMs * Math.min(1, target / Math.max(1, otherTarget));
}

/**
 * Within its class a request waits for the backlog of its own workspace, served
 * at the workspace's share of the slots, and never longer than for the backlog
 * of the whole class.
 */
function computeAheadInClass(
  query: WaitQuery,
  queue: WaitingClass,
): number {
  const backlog = queue.backlogs.get(query.workspace);
  const backlogMs = backlog?.slotMs ?? 0;
  const otherWeight = queue.weight - (backlog?.weight ?? 0);
  const share = query.weight / (query.weight + otherWeight);
  const fairMs = (backlogMs + query.slotMs) / share - query.slotMs;
  return Math.min(queue.slotMs, Math.max(backlogMs, fairMs));
}

/**
 * Spreads the retries of refused callers: one for each slot that becomes free.
 * With the same retry time for all of them, they would return at once, and all
 * but one would be refused again.
 */
export class RetrySchedule {
  readonly #reservedUntil = new Map<string, number>();

  static create(): RetrySchedule {
    return new RetrySchedule();
  }

  /**
   * Reserves the next retry time for `key`: at least `waitMs` from now and
   * `intervalMs` after the previous one. Returns the delay in milliseconds.
   */
  take(
    key: string,
    options: { now: number; waitMs: number; intervalMs: number },
  ): number {
    const { now, waitMs, intervalMs } = options;
    const reserved = this.#reservedUntil.get(key) ?? 0;
    const at = Math.max(now + waitMs, reserved + intervalMs);
    const capped = Math.min(at, now + MAX_RETRY_AFTER_MS);
    this.#reservedUntil.set(key, capped);
    return Math.ceil(Math.max(MIN_RETRY_AFTER_MS, capped - now));
  }
}
