/**
 * The order of the requests of one class that need the same model.
 *
 * Workspaces take turns by tokens served against their weight. Among the
 * workspaces whose turn it is, the request that must start first goes first;
 * one that can no longer meet its target goes behind those that can.
 *
 * @module
 */
import type { WorkspaceName } from "../../ids.ts";
import {
  buildHeadKey,
  compareHeads,
  createFlow,
  type Flow,
  getHead,
  type HeadKey,
  isEmpty,
  isServedLess,
} from "./workspace_flow.ts";
import { Heap } from "./heap.ts";
import type { QueueEntry } from "./waiter.ts";

/** Entries that are tried when the first ones fit on no free replica. */
const LOOK_AHEAD = 8;
/**
 * How far, in mean requests, a workspace may be ahead of the one furthest
 * behind and still be chosen by deadline.
 */
const SLACK_REQUESTS = 2;
const MEAN_COST_WEIGHT = 0.05;

/** Which of the two orders apply. */
export interface FairQueueOptions {
  fairShare: boolean;
  deadlineOrder: boolean;
}

/** One class's requests for one model. */
export class FairQueue<T extends QueueEntry> {
  readonly #options: FairQueueOptions;
  readonly #flows = new Map<WorkspaceName, Flow<T>>();
  /** Flows with entries, the least served first. */
  readonly #byServed = Heap.create<Flow<T>>(isServedLess);
  /** Flows whose turn it is, by their heads. */
  readonly #inTurn: Heap<Flow<T>>;
  /** Flows that are too far ahead, the least served first. */
  readonly #ahead = Heap.create<Flow<T>>(isServedLess);
  /** What a workspace that comes back counts as served at least. */
  #floor = 0;
  #mostServed = 0;
  /** Mean tokens of a finished request divided by its weight. */
  #meanCost = 0;
  #meanTokens = 0;
  #finished = 0;
  #size = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#inTurn = Heap.create<Flow<T>>((left, right) =>
      compareHeads(buildHeadKey(left), buildHeadKey(right)) < 0
    );
  }

  static create<T extends QueueEntry>(
    options: FairQueueOptions,
  ): FairQueue<T> {
    return new FairQueue(options);
  }

  get size(): number {
    return this.#size;
  }

  add(entry: T, now: number): void {
    const flow = this.#getFlow(entry.workspace);
    // A workspace that was idle gets no credit for the time that it did not
    // ask, or its burst would keep all others waiting.
    this.#updateFloor();
    if (isEmpty(flow)) flow.served = Math.max(flow.served, this.#floor);
    this.#addToFlow(flow, entry, now);
  }

  remove(entry: T): boolean {
    const flow = this.#flows.get(entry.workspace);
    if (flow === undefined) return false;
    if (!flow.feasible.remove(entry) && !flow.late.remove(entry)) return false;
    this.#size--;
    this.#updateActive(flow);
    return true;
  }

  /** The key of the entry that would be chosen now. */
  findKey(now: number): HeadKey | undefined {
    const flow = this.#findTurn(now);
    return flow && buildHeadKey(flow);
  }

  /** The first entry in order that `accepts` takes, left in its place. */
  findFirst(now: number, accepts: (entry: T) => boolean): T | undefined {
    const skipped: T[] = [];
    let found: T | undefined;
    while (found === undefined && skipped.length < LOOK_AHEAD) {
      const flow = this.#findTurn(now);
      if (flow === undefined) break;
      const head = getHead(flow)!;
      if (accepts(head)) {
        found = head;
      } else {
        skipped.push(head);
        this.remove(head);
      }
    }
    for (const entry of skipped) {
      this.#addToFlow(this.#getFlow(entry.workspace), entry, now);
    }
    return found;
  }

  /** Counts `tokens` as served to `workspace`; negative ones give back. */
  noteServed(
    workspace: WorkspaceName,
    options: { tokens: number; weight: number },
  ): void {
    const flow = this.#flows.get(workspace);
    if (flow === undefined) return;
    flow.served += options.tokens / options.weight;
    this.#mostServed = Math.max(this.#mostServed, flow.served);
    this.#byServed.update(flow);
    this.#ahead.update(flow);
  }

  /**
   * What to count for `entry` when it is granted. A cap as the guess would be
   * many times too high, and a workspace that comes meanwhile would be taken
   * for one that had been served as much; so before anything is learnt the
   * mean of the finished requests counts, and before the first one the least.
   */
  computeCharge(entry: T): number {
    if (entry.isCostLearnt) return entry.cost;
    return Math.min(entry.cost, this.#finished > 0 ? this.#meanTokens : 1);
  }

  /**
   * Takes in what a finished request cost in the end. Only finished ones
   * count: guesses made before anything is learnt may be many times too high,
   * and would let one workspace run far ahead.
   */
  noteFinished(options: { tokens: number; weight: number }): void {
    this.#finished++;
    const weight = Math.max(MEAN_COST_WEIGHT, 1 / this.#finished);
    const cost = options.tokens / options.weight;
    this.#meanCost += weight * (cost - this.#meanCost);
    this.#meanTokens += weight * (options.tokens - this.#meanTokens);
  }

  /** Forgets idle workspaces that are owed and owe nothing. */
  dropIdle(): void {
    this.#updateFloor();
    for (const [workspace, flow] of this.#flows) {
      if (isEmpty(flow) && flow.served <= this.#floor) {
        this.#flows.delete(workspace);
      }
    }
  }

  /** Whether an idle workspace has been served more than the others. */
  hasDebt(): boolean {
    return this.#flows.size > 0;
  }

  #getFlow(workspace: WorkspaceName): Flow<T> {
    let flow = this.#flows.get(workspace);
    if (flow !== undefined) return flow;
    flow = createFlow<T>(workspace, this.#floor);
    this.#flows.set(workspace, flow);
    return flow;
  }

  #addToFlow(flow: Flow<T>, entry: T, now: number): void {
    const wasEmpty = isEmpty(flow);
    const feasible = this.#options.deadlineOrder && entry.startBy >= now;
    (feasible ? flow.feasible : flow.late).push(entry);
    this.#size++;
    if (wasEmpty) this.#addActive(flow);
    else this.#inTurn.update(flow);
  }

  /** The flow whose head goes next, once late heads have been moved. */
  #findTurn(now: number): Flow<T> | undefined {
    this.#updateTurns();
    while (true) {
      const flow = this.#inTurn.getFirst();
      if (flow === undefined) return undefined;
      if (this.#isAhead(flow)) {
        this.#inTurn.remove(flow);
        this.#ahead.push(flow);
      } else if (!this.#updateLate(flow, now)) {
        return flow;
      }
    }
  }

  /**
   * Moves heads that can no longer meet their target. Only the first flow
   * needs a look: a start time in the past sorts before any in the future.
   */
  #updateLate(flow: Flow<T>, now: number): boolean {
    let moved = false;
    let head = flow.feasible.getFirst();
    while (head !== undefined && head.startBy < now) {
      flow.feasible.remove(head);
      flow.late.push(head);
      moved = true;
      head = flow.feasible.getFirst();
    }
    if (moved) this.#inTurn.update(flow);
    return moved;
  }

  #addActive(flow: Flow<T>): void {
    this.#byServed.push(flow);
    if (this.#isAhead(flow)) this.#ahead.push(flow);
    else this.#inTurn.push(flow);
  }

  #updateActive(flow: Flow<T>): void {
    if (!isEmpty(flow)) {
      this.#inTurn.update(flow);
      return;
    }
    this.#byServed.remove(flow);
    this.#inTurn.remove(flow);
    this.#ahead.remove(flow);
  }

  #updateFloor(): void {
    const least = this.#byServed.getFirst()?.served ?? this.#mostServed;
    this.#floor = Math.max(this.#floor, least);
  }

  /** Lets in the flows whose turn has come. */
  #updateTurns(): void {
    let next = this.#ahead.getFirst();
    while (next !== undefined && !this.#isAhead(next)) {
      this.#ahead.remove(next);
      this.#inTurn.push(next);
      next = this.#ahead.getFirst();
    }
  }

  #isAhead(flow: Flow<T>): boolean {
    if (!this.#options.fairShare) return false;
    const least = this.#byServed.getFirst()?.served ?? flow.served;
    return flow.served > least + SLACK_REQUESTS * this.#meanCost;
  }
}
