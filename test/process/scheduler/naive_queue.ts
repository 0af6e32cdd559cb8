/**
 * Reference implementation of the grant order for the queue's tests. It sorts a
 * plain list at each grant and keeps no state but the sums.
 *
 * @module
 */
import type { QueueEntry } from "../../../src/process/scheduler/waiter.ts";
import type {
  GrantFilter,
  NextGrant,
} from "../../../src/process/scheduler/waiting_queue.ts";

const MAX_LEAD_REQUESTS = 2;
const MIN_SAMPLE_WEIGHT = 0.05;
const DUE_SHARE = 0.5;
const MAX_CREDIT_REQUESTS = 2;

interface FairShareState {
  served: Map<string, number>;
  virtualTime: number;
  mostServed: number;
  meanCost: number;
  meanTokens: number;
  finished: number;
}

interface ClassState {
  headSince: number;
  credit: number;
  creditAt: number;
}

export class NaiveQueue {
  readonly #features: { fairShare: boolean; progress: boolean };
  readonly #fairShares = new Map<string, FairShareState>();
  readonly #classes = new Map<string, ClassState>();
  #entries: QueueEntry[] = [];

  constructor(features: { fairShare: boolean; progress: boolean }) {
    this.#features = features;
  }

  get size(): number {
    return this.#entries.length;
  }

  add(entry: QueueEntry, now: number): void {
    const sameModel = this.#listSameModel(entry);
    const share = this.#getFairShare(entry);
    const least = sameModel.length === 0
      ? share.mostServed
      : Math.min(...sameModel.map((other) => getServed(share, other)));
    share.virtualTime = Math.max(share.virtualTime, least);
    const isActive = sameModel.some((other) =>
      other.workspace === entry.workspace
    );
    if (!isActive) {
      const served = Math.max(getServed(share, entry), share.virtualTime);
      share.served.set(entry.workspace, served);
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
    const share = this.#getFairShare(entry);
    const coldCost = share.finished > 0 ? share.meanTokens : 1;
    const charge = entry.isCostLearnt
      ? entry.cost
      : Math.min(entry.cost, coldCost);
    this.remove(entry, now);
    const state = this.#classes.get(entry.className)!;
    state.credit = Math.max(0, state.credit - entry.slotMs);
    this.noteServed(entry, charge);
    return charge;
  }

  noteServed(entry: QueueEntry, tokens: number): void {
    const share = this.#getFairShare(entry);
    const cost = tokens / entry.weight;
    const served = getServed(share, entry) + cost;
    share.served.set(entry.workspace, served);
    share.mostServed = Math.max(share.mostServed, served);
  }

  noteFinished(entry: QueueEntry, tokens: number): void {
    const share = this.#getFairShare(entry);
    share.finished++;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / share.finished);
    share.meanCost += weight * (tokens / entry.weight - share.meanCost);
    share.meanTokens += weight * (tokens - share.meanTokens);
  }

  addCredit(now: number, slots: number): void {
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
      state.credit = Math.min(state.credit, MAX_CREDIT_REQUESTS * head.slotMs);
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
      .filter((entry) => filter.isTierOpen(entry.rank) && filter.accepts(entry))
      .filter((entry) => this.#isInTurn(entry))
      .sort((left, right) => compareEntries(left, right, now));
    const entry = ordered[0];
    return entry && { entry, isPromoted: false };
  }

  #findPromoted(
    now: number,
    filter: GrantFilter<QueueEntry>,
  ): NextGrant<QueueEntry> | undefined {
    if (!this.#features.progress) return undefined;
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
      if (!filter.isTierOpen(head.rank)) continue;
      // Only the four oldest are tried.
      const entry = this.#listByAge(head).slice(0, 4).find(filter.accepts);
      if (entry !== undefined) return { entry, isPromoted };
    }
    return undefined;
  }

  #isInTurn(entry: QueueEntry): boolean {
    if (!this.#features.fairShare) return true;
    const share = this.#getFairShare(entry);
    const served = this.#listSameModel(entry).map((one) =>
      getServed(share, one)
    );
    const bound = Math.min(...served) + MAX_LEAD_REQUESTS * share.meanCost;
    return getServed(share, entry) <= bound;
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

  #listSameModel(entry: QueueEntry): QueueEntry[] {
    return this.#listClass(entry).filter((one) =>
      one.modelKey === entry.modelKey
    );
  }

  #findClass(name: string) {
    return this.#entries.findLast((entry) => entry.className === name)!
      .requestClass;
  }

  #getFairShare(entry: QueueEntry): FairShareState {
    const key = `${entry.className}/${entry.modelKey}`;
    let share = this.#fairShares.get(key);
    if (share === undefined) {
      share = {
        served: new Map(),
        virtualTime: 0,
        mostServed: 0,
        meanCost: 0,
        meanTokens: 0,
        finished: 0,
      };
      this.#fairShares.set(key, share);
    }
    return share;
  }
}

function getServed(share: FairShareState, entry: QueueEntry): number {
  return share.served.get(entry.workspace) ?? share.virtualTime;
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
