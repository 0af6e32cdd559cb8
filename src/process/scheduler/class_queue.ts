/**
 * The waiting requests of one class, with what the class is owed.
 *
 * @module
 */
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import { FairQueue, type FairQueueOptions } from "./fair_queue.ts";
import { Heap } from "./heap.ts";
import type { QueueEntry } from "./waiter.ts";

/**
 * The part of `maxWaitMs` after which the head of a class goes before every
 * tier. The rest of the bound is left for a slot to become free.
 */
export const DUE_SHARE = 0.5;
/** Entries that are tried when the oldest ones fit on no free replica. */
const LOOK_AHEAD = 4;
/** Requests that a class can be owed at most. */
const MAX_CREDIT_REQUESTS = 2;

/** What one workspace has waiting in a class. */
export interface WorkspaceBacklog {
  count: number;
  slotMs: number;
  weight: number;
}

/** One class's part of a shard's queue. */
export class ClassQueue<T extends QueueEntry> {
  readonly className: ClassName;
  readonly rank: number;
  /** The class as the latest entry was admitted under it. */
  requestClass: RequestClass;
  readonly lanes = new Map<string, FairQueue<T>>();
  readonly backlogs = new Map<WorkspaceName, WorkspaceBacklog>();
  readonly #options: FairQueueOptions;
  readonly #byAge = Heap.create<T>(isOlder);
  #slotMs = 0;
  #weight = 0;
  #headSince = 0;
  #creditMs = 0;
  #creditAt = 0;

  constructor(first: T, options: FairQueueOptions) {
    this.className = first.className;
    this.rank = first.rank;
    this.requestClass = first.requestClass;
    this.#options = options;
  }

  static create<T extends QueueEntry>(
    first: T,
    options: FairQueueOptions,
  ): ClassQueue<T> {
    return new ClassQueue(first, options);
  }

  get size(): number {
    return this.#byAge.size;
  }

  /** Expected slot time of all that waits. */
  get slotMs(): number {
    return this.#slotMs;
  }

  /** Sum of the weights of the workspaces that wait. */
  get weight(): number {
    return this.#weight;
  }

  add(entry: T, now: number): void {
    if (this.size === 0) {
      this.#headSince = now;
      this.#creditMs = 0;
      this.#creditAt = now;
    }
    this.requestClass = entry.requestClass;
    this.#byAge.push(entry);
    this.#getLane(entry.modelKey).add(entry, now);
    this.#countIn(entry);
  }

  remove(entry: T, now: number): void {
    const wasHead = this.#byAge.getFirst() === entry;
    if (!this.#byAge.remove(entry)) return;
    this.lanes.get(entry.modelKey)?.remove(entry);
    this.#countOut(entry);
    if (wasHead) this.#headSince = now;
  }

  /** The oldest entry: the head that the wait bound is about. */
  getOldest(): T | undefined {
    return this.#byAge.getFirst();
  }

  /** When the head must go before every tier. */
  getDueAt(): number {
    return this.#headSince + DUE_SHARE * this.requestClass.maxWaitMs;
  }

  /**
   * Adds the class's minimum share of slot time since the last call.
   * `slots` is the number of slots that the share is of.
   */
  addShare(now: number, share: { minShare: number; slots: number }): void {
    const elapsed = now - this.#creditAt;
    this.#creditAt = now;
    const head = this.#byAge.getFirst();
    if (head === undefined) return;
    this.#creditMs += elapsed * share.minShare * share.slots;
    const most = MAX_CREDIT_REQUESTS * head.slotMs;
    this.#creditMs = Math.min(this.#creditMs, most);
  }

  /** Whether the share accrued so far pays for the head's slot time. */
  isOwed(): boolean {
    const head = this.#byAge.getFirst();
    return head !== undefined && this.#creditMs > 0 &&
      this.#creditMs >= head.slotMs;
  }

  /** Every grant to the class counts against what it is owed. */
  settleGrant(entry: T): void {
    this.#creditMs = Math.max(0, this.#creditMs - entry.slotMs);
  }

  /** The oldest entry that `accepts` takes. */
  findOldest(accepts: (entry: T) => boolean): T | undefined {
    const skipped: T[] = [];
    let found: T | undefined;
    while (found === undefined && skipped.length < LOOK_AHEAD) {
      const head = this.#byAge.pop();
      if (head === undefined) break;
      skipped.push(head);
      if (accepts(head)) found = head;
    }
    for (const entry of skipped) this.#byAge.push(entry);
    return found;
  }

  /** The workspace with the most waiting for its weight. */
  findLargestBacklog(): WorkspaceName | undefined {
    let largest: WorkspaceName | undefined;
    let most = 0;
    for (const [workspace, backlog] of this.backlogs) {
      const share = backlog.count / backlog.weight;
      if (share <= most) continue;
      most = share;
      largest = workspace;
    }
    return largest;
  }

  dropIdle(): void {
    for (const lane of this.lanes.values()) lane.dropIdle();
  }

  list(): IterableIterator<T> {
    return this.#byAge.list();
  }

  #getLane(name: string): FairQueue<T> {
    let lane = this.lanes.get(name);
    if (lane === undefined) {
      lane = FairQueue.create<T>(this.#options);
      this.lanes.set(name, lane);
    }
    return lane;
  }

  #countIn(entry: T): void {
    this.#slotMs += entry.slotMs;
    let backlog = this.backlogs.get(entry.workspace);
    if (backlog === undefined) {
      backlog = { count: 0, slotMs: 0, weight: entry.weight };
      this.backlogs.set(entry.workspace, backlog);
      this.#weight += backlog.weight;
    }
    backlog.count++;
    backlog.slotMs += entry.slotMs;
  }

  #countOut(entry: T): void {
    this.#slotMs -= entry.slotMs;
    const backlog = this.backlogs.get(entry.workspace);
    if (backlog === undefined) return;
    backlog.count--;
    backlog.slotMs -= entry.slotMs;
    if (backlog.count > 0) return;
    this.backlogs.delete(entry.workspace);
    this.#weight -= backlog.weight;
    if (this.size === 0) {
      this.#slotMs = 0;
      this.#weight = 0;
    }
  }
}

function isOlder(left: QueueEntry, right: QueueEntry): boolean {
  if (left.arrivedAt !== right.arrivedAt) {
    return left.arrivedAt < right.arrivedAt;
  }
  return left.sequence < right.sequence;
}
