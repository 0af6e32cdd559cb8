/**
 * The order of grants worked out anew each time from a plain list: the oracle
 * of the queue's tests. No heaps, no state but the sums.
 *
 * @module
 */
import type { QueueEntry } from "../../../src/process/scheduler/waiter.ts";
import type {
  GrantFilter,
  NextGrant,
} from "../../../src/process/scheduler/waiting_queue.ts";

const SLACK_REQUESTS = 2;
const MEAN_WEIGHT = 0.05;
const DUE_SHARE = 0.5;
const MAX_CREDIT = 2;

interface LaneState {
  served: Map<string, number>;
  floor: number;
  most: number;
  mean: number;
  meanTokens: number;
  finished: number;
}

interface ClassState {
  headSince: number;
  credit: number;
  creditAt: number;
}

export class NaiveQueue {
  readonly #decisions: { fairShare: boolean; progress: boolean };
  readonly #lanes = new Map<string, LaneState>();
  readonly #classes = new Map<string, ClassState>();
  #entries: QueueEntry[] = [];

  constructor(decisions: { fairShare: boolean; progress: boolean }) {
    this.#decisions = decisions;
  }

  get size(): number {
    return this.#entries.length;
  }

  add(entry: QueueEntry, now: number): void {
    const inLane = this.#listLane(entry);
    const lane = this.#getLane(entry);
    const least = inLane.length === 0
      ? lane.most
      : Math.min(...inLane.map((other) => getServed(lane, other)));
    lane.floor = Math.max(lane.floor, least);
    const isActive = inLane.some((other) =>
      other.workspace === entry.workspace
    );
    if (!isActive) {
      const served = Math.max(getServed(lane, entry), lane.floor);
      lane.served.set(entry.workspace, served);
    }
    if (this.#listClass(entry).length === 0) {
      this.#classes.set(entry.className, {
        headSince: now,
        credit: 0,
        creditAt: now,
      });
    }
    this.#entries.push(entry);
  }

  remove(entry: QueueEntry, now: number): void {
    const wasHead = this.#findHead(entry) === entry;
    this.#entries = this.#entries.filter((other) => other !== entry);
    if (wasHead) this.#classes.get(entry.className)!.headSince = now;
  }

  takeGranted(entry: QueueEntry, now: number): number {
    const lane = this.#getLane(entry);
    const unlearnt = lane.finished > 0 ? lane.meanTokens : 1;
    const charge = entry.isCostLearnt
      ? entry.cost
      : Math.min(entry.cost, unlearnt);
    this.remove(entry, now);
    const state = this.#classes.get(entry.className)!;
    state.credit = Math.max(0, state.credit - entry.slotMs);
    this.noteServed(entry, charge);
    return charge;
  }

  noteServed(entry: QueueEntry, tokens: number): void {
    const lane = this.#getLane(entry);
    const cost = tokens / entry.weight;
    const served = getServed(lane, entry) + cost;
    lane.served.set(entry.workspace, served);
    lane.most = Math.max(lane.most, served);
  }

  noteFinished(entry: QueueEntry, tokens: number): void {
    const lane = this.#getLane(entry);
    lane.finished++;
    const weight = Math.max(MEAN_WEIGHT, 1 / lane.finished);
    lane.mean += weight * (tokens / entry.weight - lane.mean);
    lane.meanTokens += weight * (tokens - lane.meanTokens);
  }

  addShare(now: number, slots: number): void {
    const waiting = [...this.#classes].filter(([name]) =>
      this.#entries.some((entry) => entry.className === name)
    );
    const sum = waiting.reduce(
      (total, [name]) => total + this.#findClass(name).minShare,
      0,
    );
    for (const [name, state] of waiting) {
      const head = this.#findHead({ className: name } as QueueEntry)!;
      const share = this.#findClass(name).minShare / Math.max(1, sum);
      state.credit += (now - state.creditAt) * share * slots;
      state.credit = Math.min(state.credit, MAX_CREDIT * head.slotMs);
      state.creditAt = now;
    }
  }

  findLowestRank(): number | undefined {
    const ranks = this.#entries.map((entry) => entry.rank);
    return ranks.length === 0 ? undefined : Math.max(...ranks);
  }

  findNext(
    now: number,
    filter: GrantFilter<QueueEntry>,
  ): NextGrant<QueueEntry> | undefined {
    const promoted = this.#findPromoted(now, filter);
    if (promoted !== undefined) return promoted;
    const ordered = this.#entries
      .filter((entry) => filter.isOpen(entry.rank) && filter.accepts(entry))
      .filter((entry) => this.#isInTurn(entry))
      .sort((left, right) => compareEntries(left, right, now));
    const entry = ordered[0];
    return entry && { entry, isPromoted: false };
  }

  #findPromoted(
    now: number,
    filter: GrantFilter<QueueEntry>,
  ): NextGrant<QueueEntry> | undefined {
    if (!this.#decisions.progress) return undefined;
    const names = new Set(this.#entries.map((entry) => entry.className));
    const highest = Math.min(...this.#entries.map((entry) => entry.rank));
    const promoted = [...names].map((name) => {
      const head = this.#findHead({ className: name } as QueueEntry)!;
      const state = this.#classes.get(name)!;
      const dueAt = state.headSince + DUE_SHARE * head.requestClass.maxWaitMs;
      const isOwed = state.credit > 0 && state.credit >= head.slotMs;
      return { head, dueAt: dueAt <= now ? dueAt : Infinity, isOwed };
    }).filter(({ dueAt, isOwed }) => dueAt !== Infinity || isOwed);
    promoted.sort((left, right) =>
      left.dueAt === right.dueAt
        ? left.head.rank - right.head.rank
        : left.dueAt - right.dueAt
    );
    for (const { head } of promoted) {
      const isPromoted = head.rank > highest;
      if (isPromoted && !filter.canPromote()) continue;
      if (!filter.isOpen(head.rank)) continue;
      // Only the few oldest are tried.
      const entry = this.#listByAge(head).slice(0, 4).find(filter.accepts);
      if (entry !== undefined) return { entry, isPromoted };
    }
    return undefined;
  }

  #isInTurn(entry: QueueEntry): boolean {
    if (!this.#decisions.fairShare) return true;
    const lane = this.#getLane(entry);
    const served = this.#listLane(entry).map((one) => getServed(lane, one));
    const bound = Math.min(...served) + SLACK_REQUESTS * lane.mean;
    return getServed(lane, entry) <= bound;
  }

  #findHead(entry: QueueEntry): QueueEntry | undefined {
    return this.#listByAge(entry)[0];
  }

  #listByAge(entry: QueueEntry): QueueEntry[] {
    return this.#listClass(entry).sort((left, right) =>
      left.arrivedAt - right.arrivedAt || left.sequence - right.sequence
    );
  }

  #listClass(entry: QueueEntry): QueueEntry[] {
    return this.#entries.filter((one) => one.className === entry.className);
  }

  #listLane(entry: QueueEntry): QueueEntry[] {
    return this.#listClass(entry).filter((one) =>
      one.modelKey === entry.modelKey
    );
  }

  #findClass(name: string) {
    return this.#entries.findLast((entry) => entry.className === name)!
      .requestClass;
  }

  #getLane(entry: QueueEntry): LaneState {
    const key = `${entry.className}/${entry.modelKey}`;
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      lane = {
        served: new Map(),
        floor: 0,
        most: 0,
        mean: 0,
        meanTokens: 0,
        finished: 0,
      };
      this.#lanes.set(key, lane);
    }
    return lane;
  }
}

function getServed(lane: LaneState, entry: QueueEntry): number {
  return lane.served.get(entry.workspace) ?? lane.floor;
}

function compareEntries(
  left: QueueEntry,
  right: QueueEntry,
  now: number,
): number {
  if (left.rank !== right.rank) return left.rank - right.rank;
  const leftLate = left.startBy < now;
  const rightLate = right.startBy < now;
  if (leftLate !== rightLate) return leftLate ? 1 : -1;
  const byTime = leftLate
    ? left.arrivedAt - right.arrivedAt
    : left.startBy - right.startBy;
  return byTime || left.sequence - right.sequence;
}
