/**
 * The queue of one shard, for all tiers.
 *
 * Grant order: classes whose head is due or that have credit for their minimum
 * share; then strict tier priority; within a tier the earliest feasible start;
 * between the workspaces of a class fair queueing by tokens served.
 *
 * @module
 */
import type { TicketId, WorkspaceName } from "../../ids.ts";
import { ClassQueue } from "./class_queue.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import type { FairQueue } from "./fair_queue.ts";
import { compareHeads, type HeadKey } from "./workspace_flow.ts";
import { Heap } from "./heap.ts";
import { chooseShedVictim, findLatest } from "./shed_victim.ts";
import type { QueueEntry } from "./waiter.ts";

/** A class that is granted ahead of its tier. */
interface Promoted<T extends QueueEntry> {
  queue: ClassQueue<T>;
  /** When its head became due; infinite if it only has credit. */
  dueAt: number;
}

interface Candidate<T extends QueueEntry> {
  queue: FairQueue<T>;
  rank: number;
  key: HeadKey;
}

/** Restricts which entries may be granted now. */
export interface GrantFilter<T extends QueueEntry> {
  /** Whether the tier of `rank` is below its slot cap. */
  isTierOpen: (rank: number) => boolean;
  /** Whether one more entry may be granted ahead of a higher tier. */
  canPromote: () => boolean;
  /** Whether a free slot meets the requirements of `entry`. */
  accepts: (entry: T) => boolean;
}

/** The members of an entry that identify the share it is charged to. */
export type ServedEntry = Pick<
  QueueEntry,
  "className" | "rank" | "workspace" | "weight" | "modelKey"
>;

/** The entry to grant next. */
export interface NextGrant<T extends QueueEntry> {
  entry: T;
  /** Whether it is granted ahead of a higher tier that has entries waiting. */
  isPromoted: boolean;
}

/** All waiting requests of one shard. */
export class WaitingQueue<T extends QueueEntry> {
  readonly #features: SchedulerFeatures;
  readonly #entries = new Map<TicketId, T>();
  readonly #classes = new Map<string, ClassQueue<T>>();
  readonly #byDropAt = Heap.create<T>((left, right) =>
    left.dropAt < right.dropAt
  );

  constructor(features: SchedulerFeatures) {
    this.#features = features;
  }

  static create<T extends QueueEntry>(
    features: SchedulerFeatures,
  ): WaitingQueue<T> {
    return new WaitingQueue(features);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Entries that count against the queue bound: all but each class's head. */
  get boundedSize(): number {
    let heads = 0;
    for (const queue of this.#classes.values()) if (queue.size > 0) heads++;
    return this.#entries.size - heads;
  }

  get(ticket: TicketId): T | undefined {
    return this.#entries.get(ticket);
  }

  list(): IterableIterator<T> {
    return this.#entries.values();
  }

  listClasses(): IterableIterator<ClassQueue<T>> {
    return this.#classes.values();
  }

  getClass(entry: QueueEntry): ClassQueue<T> | undefined {
    return this.#classes.get(buildClassKey(entry));
  }

  add(entry: T, now: number): void {
    const key = buildClassKey(entry);
    let queue = this.#classes.get(key);
    if (queue === undefined) {
      queue = ClassQueue.create(entry, this.#features);
      this.#classes.set(key, queue);
    }
    queue.add(entry, now);
    this.#entries.set(entry.ticket, entry);
    if (Number.isFinite(entry.dropAt)) this.#byDropAt.push(entry);
  }

  remove(entry: T, now: number): void {
    if (this.#entries.get(entry.ticket) !== entry) return;
    this.#entries.delete(entry.ticket);
    this.#byDropAt.remove(entry);
    this.#classes.get(buildClassKey(entry))?.remove(entry, now);
  }

  /** Returns the entry to grant next among those that `filter` allows. */
  findNext(now: number, filter: GrantFilter<T>): NextGrant<T> | undefined {
    return this.#findPromoted(now, filter) ?? this.#findInOrder(now, filter);
  }

  /** Returns the first entry by tier alone, regardless of promoted classes. */
  findFirstByTier(now: number): T | undefined {
    const first = this.#listCandidates(now)[0];
    return first?.queue.findFirst(now, () => true);
  }

  /** Removes a granted entry and returns the cost charged to its workspace. */
  takeGranted(entry: T, now: number): number {
    const queue = this.#classes.get(buildClassKey(entry));
    const charge = this.#findModelQueue(entry)?.computeCharge(entry) ??
      entry.cost;
    this.remove(entry, now);
    queue?.settleGrant(entry);
    this.noteServed(entry, charge);
    return charge;
  }

  /** Charges `tokens` to the workspace of `entry`. */
  noteServed(entry: ServedEntry, tokens: number): void {
    const { workspace, weight } = entry;
    this.#findModelQueue(entry)?.noteServed(workspace, { tokens, weight });
  }

  /** Records the actual cost of a finished request like `entry`. */
  noteFinished(entry: ServedEntry, tokens: number): void {
    this.#findModelQueue(entry)?.noteFinished({ tokens, weight: entry.weight });
  }

  /**
   * Credits each waiting class with its minimum share. Shares that add up to
   * more than 1 are scaled down.
   */
  addCredit(now: number, slots: number): void {
    let sum = 0;
    for (const queue of this.#classes.values()) {
      if (queue.size > 0) sum += queue.requestClass.minShare;
    }
    const scale = 1 / Math.max(1, sum);
    for (const queue of this.#classes.values()) {
      const minShare = queue.requestClass.minShare * scale;
      queue.addCredit(now, { minShare, slots });
    }
  }

  /** Removes and returns the entries whose answer would now be useless. */
  takeExpired(now: number): T[] {
    const expired: T[] = [];
    let first = this.#byDropAt.getFirst();
    while (first !== undefined && first.dropAt <= now) {
      this.remove(first, now);
      expired.push(first);
      first = this.#byDropAt.getFirst();
    }
    return expired;
  }

  /** Returns the largest waiting rank, or undefined if nothing waits. */
  findLowestRank(): number | undefined {
    let lowest: number | undefined;
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      if (lowest === undefined || queue.rank > lowest) lowest = queue.rank;
    }
    return lowest;
  }

  /** Counts the waiting requests by rank. */
  countByRank(): Record<number, number> {
    const counts: Record<number, number> = {};
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      counts[queue.rank] = (counts[queue.rank] ?? 0) + queue.size;
    }
    return counts;
  }

  /**
   * Returns the entry to shed: the latest one in the lowest waiting tier, of
   * the workspace with the largest backlog. The head of a class is shed only
   * if its tier has no other entry.
   */
  findShedVictim(): T | undefined {
    const isTierBound = this.#features.tiers;
    const lowest = this.findLowestRank();
    const candidates = [...this.#classes.values()].filter((queue) =>
      queue.size > 0 && (!isTierBound || queue.rank === lowest)
    );
    return chooseShedVictim(candidates);
  }

  /** Returns the latest entry of `workspace` in the class of `entry`. */
  findLatestOf(entry: QueueEntry, workspace: WorkspaceName): T | undefined {
    const queue = this.#classes.get(buildClassKey(entry));
    return queue && findLatest(queue, workspace);
  }

  /** Drops classes without entries whose workspaces have no debt. */
  dropIdle(): void {
    for (const [key, queue] of this.#classes) {
      queue.dropIdle();
      if (queue.size === 0 && !this.#hasDebt(queue)) {
        this.#classes.delete(key);
      }
    }
  }

  #findModelQueue(entry: ServedEntry): FairQueue<T> | undefined {
    return this.#classes.get(buildClassKey(entry))?.byModel.get(entry.modelKey);
  }

  #findPromoted(
    now: number,
    filter: GrantFilter<T>,
  ): NextGrant<T> | undefined {
    if (!this.#features.progress) return undefined;
    const highest = this.#findHighestRank();
    for (const { queue } of this.#listPromoted(now)) {
      const isPromoted = queue.rank > highest;
      if (isPromoted && !filter.canPromote()) continue;
      if (!filter.isTierOpen(queue.rank)) continue;
      const entry = queue.findOldest(filter.accepts);
      if (entry !== undefined) return { entry, isPromoted };
    }
    return undefined;
  }

  #findInOrder(
    now: number,
    filter: GrantFilter<T>,
  ): NextGrant<T> | undefined {
    for (const candidate of this.#listCandidates(now)) {
      if (!filter.isTierOpen(candidate.rank)) continue;
      const entry = candidate.queue.findFirst(now, filter.accepts);
      if (entry !== undefined) return { entry, isPromoted: false };
    }
    return undefined;
  }

  #findHighestRank(): number {
    let highest = Infinity;
    for (const queue of this.#classes.values()) {
      if (queue.size > 0) highest = Math.min(highest, queue.rank);
    }
    return highest;
  }

  #hasDebt(queue: ClassQueue<T>): boolean {
    for (const one of queue.byModel.values()) if (one.hasDebt()) return true;
    return false;
  }

  #listPromoted(now: number): Promoted<T>[] {
    const promoted: Promoted<T>[] = [];
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      const dueAt = queue.getDueAt();
      if (dueAt <= now) promoted.push({ queue, dueAt });
      else if (queue.hasCredit()) promoted.push({ queue, dueAt: Infinity });
    }
    return promoted.sort(comparePromoted);
  }

  #listCandidates(now: number): Candidate<T>[] {
    const candidates: Candidate<T>[] = [];
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      for (const modelQueue of queue.byModel.values()) {
        const key = modelQueue.findHeadKey(now);
        if (key === undefined) continue;
        candidates.push({ queue: modelQueue, rank: queue.rank, key });
      }
    }
    const isStrict = this.#features.tiers;
    return candidates.sort((left, right) =>
      (isStrict ? left.rank - right.rank : 0) ||
      compareHeads(left.key, right.key)
    );
  }
}

/** Orders due heads first, by when they became due, then by tier. */
function comparePromoted<T extends QueueEntry>(
  left: Promoted<T>,
  right: Promoted<T>,
): number {
  if (left.dueAt !== right.dueAt) return left.dueAt < right.dueAt ? -1 : 1;
  return left.queue.rank - right.queue.rank;
}

function buildClassKey(entry: { rank: number; className: string }): string {
  return `${entry.rank}/${entry.className}`;
}
