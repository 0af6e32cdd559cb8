/**
 * Weighted fair queueing of the requests of one class for one model.
 *
 * A workspace is eligible while the tokens it was served, divided by its
 * weight, are close to those of the least served workspace. Among eligible
 * workspaces the earliest latest-start time goes first; requests that can no
 * longer meet their target go after those that can.
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
import type { FairQueueEntry } from "./waiter.ts";

/** Number of entries tried when no free replica suits the first. */
const MAX_LOOKAHEAD = 8;
/**
 * How far a workspace may be ahead of the least served one and still be
 * eligible, in requests of mean cost.
 */
const MAX_LEAD_REQUESTS = 2;
/** Minimum weight of a new sample in the moving averages. */
const MIN_SAMPLE_WEIGHT = 0.05;

/** Which ordering criteria apply. */
export interface FairQueueOptions {
  fairShare: boolean;
  deadlineOrder: boolean;
}

/** Fair queue of one class's requests for one model. */
export class FairQueue<T extends FairQueueEntry> {
  readonly #options: FairQueueOptions;
  readonly #flows = new Map<WorkspaceName, Flow<T>>();
  /** Flows with entries, least served first. */
  readonly #byServed = Heap.create<Flow<T>>(isServedLess);
  /** Flows that may be granted, ordered by their heads. */
  readonly #eligible: Heap<Flow<T>>;
  /** Flows too far ahead to be granted, least served first. */
  readonly #ahead = Heap.create<Flow<T>>(isServedLess);
  /** Lower bound of `served` for a workspace that becomes active again. */
  #virtualTime = 0;
  #mostServed = 0;
  /** Mean of the tokens of a finished request divided by its weight. */
  #meanCost = 0;
  #meanTokens = 0;
  #finishedCount = 0;
  #size = 0;

  constructor(options: FairQueueOptions) {
    this.#options = options;
    this.#eligible = Heap.create<Flow<T>>((left, right) =>
      compareHeads(buildHeadKey(left), buildHeadKey(right)) < 0
    );
  }

  static create<T extends FairQueueEntry>(
    options: FairQueueOptions,
  ): FairQueue<T> {
    return new FairQueue(options);
  }

  get size(): number {
    return this.#size;
  }

  add(entry: T, now: number): void {
    const flow = this.#getFlow(entry.workspace);
    // A workspace accrues no credit while idle; otherwise a burst after an idle
    // period would starve all others.
    this.#updateVirtualTime();
    if (isEmpty(flow)) flow.served = Math.max(flow.served, this.#virtualTime);
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

  /** Returns the key of the entry that would be chosen now. */
  findHeadKey(now: number): HeadKey | undefined {
    const flow = this.#findNextFlow(now);
    return flow && buildHeadKey(flow);
  }

  /** Returns the first entry that `accepts` allows, without removing it. */
  findFirst(now: number, accepts: (entry: T) => boolean): T | undefined {
    const skipped: T[] = [];
    let found: T | undefined;
    while (found === undefined && skipped.length < MAX_LOOKAHEAD) {
      const flow = this.#findNextFlow(now);
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

  /** Charges `tokens` to `workspace`; a negative number is a refund. */
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
   * Returns the cost to charge for `entry` when it is granted. Until an
   * estimate is learnt, `cost` is the class's cap and may be many times too
   * high, which would also raise the start value of workspaces that become
   * active meanwhile. The mean of the finished requests is charged instead, or
   * 1 before any has finished.
   */
  computeCharge(entry: T): number {
    if (entry.isCostLearnt) return entry.cost;
    return Math.min(entry.cost, this.#finishedCount > 0 ? this.#meanTokens : 1);
  }

  /**
   * Records the actual cost of a finished request. Only finished requests
   * enter the means: estimates made before anything is learnt may be many
   * times too high, and would let one workspace run far ahead.
   */
  noteFinished(options: { tokens: number; weight: number }): void {
    this.#finishedCount++;
    const weight = Math.max(MIN_SAMPLE_WEIGHT, 1 / this.#finishedCount);
    const cost = options.tokens / options.weight;
    this.#meanCost += weight * (cost - this.#meanCost);
    this.#meanTokens += weight * (options.tokens - this.#meanTokens);
  }

  /** Drops idle workspaces without debt. */
  dropIdle(): void {
    this.#updateVirtualTime();
    for (const [workspace, flow] of this.#flows) {
      if (isEmpty(flow) && flow.served <= this.#virtualTime) {
        this.#flows.delete(workspace);
      }
    }
  }

  /**
   * Whether `dropIdle` has left any workspace: one with entries, or one that was
   * served more than the others.
   */
  hasDebt(): boolean {
    return this.#flows.size > 0;
  }

  #getFlow(workspace: WorkspaceName): Flow<T> {
    let flow = this.#flows.get(workspace);
    if (flow !== undefined) return flow;
    flow = createFlow<T>(workspace, this.#virtualTime);
    this.#flows.set(workspace, flow);
    return flow;
  }

  #addToFlow(flow: Flow<T>, entry: T, now: number): void {
    const wasEmpty = isEmpty(flow);
    const feasible = this.#options.deadlineOrder && entry.startBy >= now;
    (feasible ? flow.feasible : flow.late).push(entry);
    this.#size++;
    if (wasEmpty) this.#addActive(flow);
    else this.#eligible.update(flow);
  }

  /** Returns the flow whose head is next, after moving late heads. */
  #findNextFlow(now: number): Flow<T> | undefined {
    this.#updateEligible();
    while (true) {
      const flow = this.#eligible.getFirst();
      if (flow === undefined) return undefined;
      if (this.#isAhead(flow)) {
        this.#eligible.remove(flow);
        this.#ahead.push(flow);
      } else if (!this.#updateLate(flow, now)) {
        return flow;
      }
    }
  }

  /**
   * Moves heads that can no longer meet their target to the late heap. Checking
   * the first flow is enough: a start time in the past sorts before any in the
   * future.
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
    if (moved) this.#eligible.update(flow);
    return moved;
  }

  #addActive(flow: Flow<T>): void {
    this.#byServed.push(flow);
    if (this.#isAhead(flow)) this.#ahead.push(flow);
    else this.#eligible.push(flow);
  }

  #updateActive(flow: Flow<T>): void {
    if (!isEmpty(flow)) {
      this.#eligible.update(flow);
      return;
    }
    this.#byServed.remove(flow);
    this.#eligible.remove(flow);
    this.#ahead.remove(flow);
  }

  #updateVirtualTime(): void {
    const least = this.#byServed.getFirst()?.served ?? this.#mostServed;
    this.#virtualTime = Math.max(this.#virtualTime, least);
  }

  /** Moves flows that are no longer too far ahead to the eligible ones. */
  #updateEligible(): void {
    let next = this.#ahead.getFirst();
    while (next !== undefined && !this.#isAhead(next)) {
      this.#ahead.remove(next);
      this.#eligible.push(next);
      next = this.#ahead.getFirst();
    }
  }

  #isAhead(flow: Flow<T>): boolean {
    if (!this.#options.fairShare) return false;
    const least = this.#byServed.getFirst()?.served ?? flow.served;
    return flow.served > least + MAX_LEAD_REQUESTS * this.#meanCost;
  }
}
