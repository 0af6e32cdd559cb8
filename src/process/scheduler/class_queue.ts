/**
 * The waiting requests of one class and the class's minimum-share credit.
 *
 * @module
 */
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";
import { FairQueue, type FairQueueOptions } from "./fair_queue.ts";
import { Heap } from "./heap.ts";
import type { QueueEntry } from "./waiter.ts";

/**
 * The part of `maxWaitMs` after which the head of a class is granted ahead of
 * every tier. The rest of the bound is the time for a slot to become free.
 */
export const DUE_SHARE = 0.5;
/** Number of oldest entries tried when no free replica suits the first. */
const MAX_LOOKAHEAD = 4;
/** Cap on a class's credit, as a multiple of its head's slot time. */
const MAX_CREDIT_REQUESTS = 2;

/** The waiting requests of one workspace in a class. */
export interface WorkspaceBacklog {
  count: number;
  /** Expected slot time of all its requests. */
  slotMs: number;
  weight: number;
}

/** The queue of one class in a shard. */
export class ClassQueue<T extends QueueEntry> {
  readonly className: ClassName;
  readonly rank: number;
  /** The class's record, as of the entry added last. */
  requestClass: RequestClass;
  /** Fair queues by `modelKey`. */
  readonly byModel = new Map<string, FairQueue<T>>();
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

  /** Expected slot time of all waiting requests. */
  get slotMs(): number {
    return this.#slotMs;
  }

  /** Sum of the weights of the waiting workspaces. */
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
    this.#getModelQueue(entry.modelKey).add(entry, now);
    this.#addToBacklog(entry);
  }

  remove(entry: T, now: number): void {
    const wasHead = this.#byAge.getFirst() === entry;
    if (!this.#byAge.remove(entry)) return;
    this.byModel.get(entry.modelKey)?.remove(entry);
    this.#removeFromBacklog(entry);
    if (wasHead) this.#headSince = now;
  }

  /** Returns the oldest entry, to which the wait bound applies. */
  getOldest(): T | undefined {
    return this.#byAge.getFirst();
  }

  /** Returns when the head is to be granted ahead of every tier. */
  getDueAt(): number {
    return this.#headSince + DUE_SHARE * this.requestClass.maxWaitMs;
  }

  /**
   * Adds the class's minimum share of the slot time since the last call.
   * `slots` is the total number of slots that the share applies to.
   */
  addCredit(now: number, share: { minShare: number; slots: number }): void {
    const elapsed = now - this.#creditAt;
    this.#creditAt = now;
    const head = this.#byAge.getFirst();
    if (head === undefined) return;
    this.#creditMs += elapsed * share.minShare * share.slots;
    const maxMs = MAX_CREDIT_REQUESTS * head.slotMs;
    this.#creditMs = Math.min(this.#creditMs, maxMs);
  }

  /** Whether the accrued credit covers the head's slot time. */
  hasCredit(): boolean {
    const head = this.#byAge.getFirst();
    return head !== undefined && this.#creditMs > 0 &&
      this.#creditMs >= head.slotMs;
  }

  /** Deducts a grant to the class from its credit. */
  settleGrant(entry: T): void {
    this.#creditMs = Math.max(0, this.#creditMs - entry.slotMs);
  }

  /** Returns the oldest entry that `accepts` allows. */
  findOldest(accepts: (entry: T) => boolean): T | undefined {
    const skipped: T[] = [];
    let found: T | undefined;
    while (found === undefined && skipped.length < MAX_LOOKAHEAD) {
      const head = this.#byAge.pop();
      if (head === undefined) break;
      skipped.push(head);
      if (accepts(head)) found = head;
    }
    for (const entry of skipped) this.#byAge.push(entry);
    return found;
  }

  /** Returns the workspace with the most requests relative to its weight. */
  findLargestBacklog(): WorkspaceName | undefined {
    let largest: WorkspaceName | undefined;
    let maxCount = 0;
    for (const [workspace, backlog] of this.backlogs) {
      const weightedCount = backlog.count / backlog.weight;
      if (weightedCount <= maxCount) continue;
      maxCount = weightedCount;
      largest = workspace;
    }
    return largest;
  }

  /** Drops the state of idle workspaces without debt. */
  dropIdle(): void {
    for (const queue of this.byModel.values()) queue.dropIdle();
  }

  list(): IterableIterator<T> {
    return this.#byAge.list();
  }

  #getModelQueue(modelKey: string): FairQueue<T> {
    let queue = this.byModel.get(modelKey);
    if (queue === undefined) {
      queue = FairQueue.create<T>(this.#options);
      this.byModel.set(modelKey, queue);
    }
    return queue;
  }

  #addToBacklog(entry: T): void {
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

  #removeFromBacklog(entry: T): void {
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
