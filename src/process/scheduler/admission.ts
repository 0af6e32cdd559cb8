/**
 * How long a request will wait, and when a refused caller should come back.
 *
 * @module
 */
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import type { WorkspaceBacklog } from "./class_queue.ts";

/** The least and the most that a caller is told to wait, in milliseconds. */
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 120_000;
/** The share of slots that a tier can count on below all others. */
const MIN_SLOT_SHARE = 0.05;

/** What the wait depends on of one class. */
export interface WaitingClass {
  readonly className: ClassName;
  readonly rank: number;
  readonly requestClass: RequestClass;
  readonly size: number;
  readonly slotMs: number;
  readonly weight: number;
  readonly backlogs: ReadonlyMap<WorkspaceName, WorkspaceBacklog>;
}

/** The shard's state that the wait depends on. */
export interface ShardLoad {
  slots: number;
  /** Free slots now. */
  freeSlots: number;
  /** Slots in use by higher tiers. */
  usedByHigherTiers: number;
  /** Slots that the tier may hold at most. */
  tierCap: number;
  /** Slots of the tier in use. */
  usedByTier: number;
  classes: Iterable<WaitingClass>;
}

/** The request whose wait is asked for. */
export interface WaitQuery {
  rank: number;
  className: ClassName;
  workspace: WorkspaceName;
  weight: number;
  requestClass: RequestClass;
  /** Mean time in a slot, where nothing better is known. */
  slotMs: number;
}

/** The slots that the tier whose load it is can count on. */
export function computeUsableSlots(load: ShardLoad): number {
  const least = Math.max(1, MIN_SLOT_SHARE * load.slots);
  const left = Math.max(least, load.slots - load.usedByHigherTiers);
  return Math.min(left, Math.max(1, load.tierCap));
}

/**
 * The expected wait of a new request: the slot time that goes before it,
 * divided by the slots that its tier can count on.
 */
export function computeExpectedWait(
  question: WaitQuery,
  load: ShardLoad,
): number {
  let aheadMs = 0;
  for (const queue of load.classes) {
    if (queue.size === 0) continue;
    aheadMs += computeAhead(question, queue);
  }
  const hasRoom = load.freeSlots > 0 && load.usedByTier < load.tierCap;
  if (aheadMs === 0 && hasRoom) return 0;
  return (aheadMs + question.slotMs) / computeUsableSlots(load);
}

/** The slot time of `queue` that goes before the request. */
function computeAhead(
  question: WaitQuery,
  queue: WaitingClass,
): number {
  if (queue.rank < question.rank) return queue.slotMs;
  if (queue.rank > question.rank) return 0;
  if (queue.className === question.className) {
    return computeAheadInClass(question, queue);
  }
  // By earliest start, only the part of the other class that must start
  // before this request's target goes first.
  const mine = question.requestClass.targets.firstTokenMs;
  const theirs = queue.requestClass.targets.firstTokenMs;
  return queue.slotMs * Math.min(1, mine / Math.max(1, theirs));
}

/**
 * Within its class a workspace waits for its own backlog at its own share,
 * and never longer than for the whole class.
 */
function computeAheadInClass(
  question: WaitQuery,
  queue: WaitingClass,
): number {
  const own = queue.backlogs.get(question.workspace);
  const ownMs = own?.slotMs ?? 0;
  const others = queue.weight - (own?.weight ?? 0);
  const share = question.weight / (question.weight + others);
  const fair = (ownMs + question.slotMs) / share - question.slotMs;
  return Math.min(queue.slotMs, Math.max(ownMs, fair));
}

/**
 * Times at which refused callers were told to come back, one for each place
 * that becomes free. If all were told the same time, they would all come at
 * once, and all but one would be refused again.
 */
export class RetrySchedule {
  readonly #bookedUntil = new Map<string, number>();

  static create(): RetrySchedule {
    return new RetrySchedule();
  }

  /**
   * Books the next place: not before `waitMs` from now, and `everyMs` after
   * the one booked before. Gives the time from now in milliseconds.
   */
  take(
    key: string,
    options: { now: number; waitMs: number; intervalMs: number },
  ): number {
    const { now, waitMs, intervalMs: everyMs } = options;
    const booked = this.#bookedUntil.get(key) ?? 0;
    const at = Math.max(now + waitMs, booked + everyMs);
    const capped = Math.min(at, now + MAX_RETRY_MS);
    this.#bookedUntil.set(key, capped);
    return Math.ceil(Math.max(MIN_RETRY_MS, capped - now));
  }
}
