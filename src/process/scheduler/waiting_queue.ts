/**
 * A shard's one queue for all tiers.
 *
 * Order at granting: first a class whose head is due or which is owed its
 * minimum share; then strictly by tier; within a tier by earliest feasible
 * start; between the workspaces of a class by tokens served.
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

/** Classes that go before their tier's turn, the first due first. */
interface Promoted<T extends QueueEntry> {
  queue: ClassQueue<T>;
  dueAt: number;
}

interface Candidate<T extends QueueEntry> {
  lane: FairQueue<T>;
  rank: number;
  key: HeadKey;
}

/** Which entries may be granted now. */
export interface GrantFilter<T extends QueueEntry> {
  /** Whether the tier of `rank` may hold one more slot. */
  isOpen: (rank: number) => boolean;
  /** Whether one more class may go before a higher tier. */
  canPromote: () => boolean;
  /** Whether there is a free slot that suits `entry`. */
  accepts: (entry: T) => boolean;
}

/** What tells whose share a request counts against. */
export type ServedEntry = Pick<
  QueueEntry,
  "className" | "rank" | "workspace" | "weight" | "modelKey"
>;

/** The entry to grant next. */
export interface NextGrant<T extends QueueEntry> {
  entry: T;
  /** It goes before a higher tier that waits. */
  isPromoted: boolean;
}

/** All requests that wait in one shard. */
export class WaitingQueue<T extends QueueEntry> {
  readonly #decisions: SchedulerFeatures;
  readonly #entries = new Map<TicketId, T>();
  readonly #classes = new Map<string, ClassQueue<T>>();
  readonly #byGiveUp = Heap.create<T>((left, right) =>
    left.dropAt < right.dropAt
  );

  constructor(decisions: SchedulerFeatures) {
    this.#decisions = decisions;
  }

  static create<T extends QueueEntry>(
    decisions: SchedulerFeatures,
  ): WaitingQueue<T> {
    return new WaitingQueue(decisions);
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Entries beside the first of each class, which takes no bounded place. */
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
      queue = ClassQueue.create(entry, this.#decisions);
      this.#classes.set(key, queue);
    }
    queue.add(entry, now);
    this.#entries.set(entry.ticket, entry);
    if (Number.isFinite(entry.dropAt)) this.#byGiveUp.push(entry);
  }

  remove(entry: T, now: number): void {
    if (this.#entries.get(entry.ticket) !== entry) return;
    this.#entries.delete(entry.ticket);
    this.#byGiveUp.remove(entry);
    this.#classes.get(buildClassKey(entry))?.remove(entry, now);
  }

  /** The entry to grant next among those that `filter` takes. */
  findNext(now: number, filter: GrantFilter<T>): NextGrant<T> | undefined {
    return this.#findPromoted(now, filter) ?? this.#findInOrder(now, filter);
  }

  /** The entry that goes first by tier alone, whatever is owed to others. */
  findFirstByTier(now: number): T | undefined {
    const first = this.#listCandidates(now)[0];
    return first?.lane.findFirst(now, () => true);
  }

  /** Takes out a granted entry; gives what its workspace was charged. */
  takeGranted(entry: T, now: number): number {
    const queue = this.#classes.get(buildClassKey(entry));
    const charge = this.#findLane(entry)?.computeCharge(entry) ?? entry.cost;
    this.remove(entry, now);
    queue?.settleGrant(entry);
    this.noteServed(entry, charge);
    return charge;
  }

  /** Counts `tokens` as served to the workspace of `entry`. */
  noteServed(entry: ServedEntry, tokens: number): void {
    const { workspace, weight } = entry;
    this.#findLane(entry)?.noteServed(workspace, { tokens, weight });
  }

  /** Takes in what a finished request of the kind of `entry` cost. */
  noteFinished(entry: ServedEntry, tokens: number): void {
    this.#findLane(entry)?.noteFinished({ tokens, weight: entry.weight });
  }

  /** Adds each class's minimum share; shares above 1 in sum are scaled. */
  addShare(now: number, slots: number): void {
    let sum = 0;
    for (const queue of this.#classes.values()) {
      if (queue.size > 0) sum += queue.requestClass.minShare;
    }
    const scale = 1 / Math.max(1, sum);
    for (const queue of this.#classes.values()) {
      const minShare = queue.requestClass.minShare * scale;
      queue.addShare(now, { minShare, slots });
    }
  }

  /** Removes the entries whose answer would now be useless. */
  takeExpired(now: number): T[] {
    const hopeless: T[] = [];
    let first = this.#byGiveUp.getFirst();
    while (first !== undefined && first.dropAt <= now) {
      this.remove(first, now);
      hopeless.push(first);
      first = this.#byGiveUp.getFirst();
    }
    return hopeless;
  }

  /** The largest rank that waits; undefined when nothing waits. */
  findLowestRank(): number | undefined {
    let lowest: number | undefined;
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      if (lowest === undefined || queue.rank > lowest) lowest = queue.rank;
    }
    return lowest;
  }

  /** Requests waiting, by rank. */
  countByRank(): Record<number, number> {
    const counts: Record<number, number> = {};
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      counts[queue.rank] = (counts[queue.rank] ?? 0) + queue.size;
    }
    return counts;
  }

  /**
   * The entry to shed: of the lowest tier present, the one that came last,
   * of the workspace with the most waiting. The head of a class goes only
   * when its tier has nothing else.
   */
  findShedVictim(): T | undefined {
    const isTierBound = this.#decisions.tiers;
    const lowest = this.findLowestRank();
    const candidates = [...this.#classes.values()].filter((queue) =>
      queue.size > 0 && (!isTierBound || queue.rank === lowest)
    );
    return chooseShedVictim(candidates);
  }

  /** The last entry of `workspace` in the class of `entry`. */
  findLatestOf(entry: QueueEntry, workspace: WorkspaceName): T | undefined {
    const queue = this.#classes.get(buildClassKey(entry));
    return queue && findLatest(queue, workspace);
  }

  dropIdle(): void {
    for (const [key, queue] of this.#classes) {
      queue.dropIdle();
      if (queue.size === 0 && !this.#isRemembered(queue)) {
        this.#classes.delete(key);
      }
    }
  }

  #findLane(entry: ServedEntry): FairQueue<T> | undefined {
    return this.#classes.get(buildClassKey(entry))?.lanes.get(entry.modelKey);
  }

  #findPromoted(
    now: number,
    filter: GrantFilter<T>,
  ): NextGrant<T> | undefined {
    if (!this.#decisions.progress) return undefined;
    const highest = this.#findHighestRank();
    for (const { queue } of this.#listPromoted(now)) {
      const isPromoted = queue.rank > highest;
      if (isPromoted && !filter.canPromote()) continue;
      if (!filter.isOpen(queue.rank)) continue;
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
      if (!filter.isOpen(candidate.rank)) continue;
      const entry = candidate.lane.findFirst(now, filter.accepts);
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

  #isRemembered(queue: ClassQueue<T>): boolean {
    for (const lane of queue.lanes.values()) if (lane.hasDebt()) return true;
    return false;
  }

  #listPromoted(now: number): Promoted<T>[] {
    const promoted: Promoted<T>[] = [];
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      const dueAt = queue.getDueAt();
      if (dueAt <= now) promoted.push({ queue, dueAt });
      else if (queue.isOwed()) promoted.push({ queue, dueAt: Infinity });
    }
    return promoted.sort(comparePromoted);
  }

  #listCandidates(now: number): Candidate<T>[] {
    const candidates: Candidate<T>[] = [];
    for (const queue of this.#classes.values()) {
      if (queue.size === 0) continue;
      for (const lane of queue.lanes.values()) {
        const key = lane.findKey(now);
        if (key === undefined) continue;
        candidates.push({ lane, rank: queue.rank, key });
      }
    }
    const isStrict = this.#decisions.tiers;
    return candidates.sort((left, right) =>
      (isStrict ? left.rank - right.rank : 0) ||
      compareHeads(left.key, right.key)
    );
  }
}

/** Due heads first, by when they became due; then by tier. */
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
