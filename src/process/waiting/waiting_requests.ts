/**
 * The calls that wait at the VM that places them, in their order.
 *
 * Lower priorities go first. Within a priority, workspaces take turns by what
 * they were given, and those that can still be on time go before the late ones,
 * of which the oldest goes first: its caller leaves first.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import { FairQueue } from "../scheduler/index.ts";
import { formatRequestKey, type WaitingRequest } from "./waiting_request.ts";

const QUEUE_OPTIONS = { fairShare: true, deadlineOrder: true };
/** All workspaces have the same weight. */
const WEIGHT = 1;

/** Requests by pool, and their order. */
export class WaitingRequests {
  readonly #maxRequests: number;
  readonly #byKey = new Map<string, WaitingRequest>();
  readonly #queues = new Map<
    PoolName,
    Map<number, FairQueue<WaitingRequest>>
  >();

  constructor(maxRequests: number) {
    this.#maxRequests = maxRequests;
  }

  static create(maxRequests: number): WaitingRequests {
    return new WaitingRequests(maxRequests);
  }

  get size(): number {
    return this.#byKey.size;
  }

  /** Adds a request unless `maxRequests` wait already. */
  add(waiting: WaitingRequest, now: number): boolean {
    if (this.size >= this.#maxRequests) return false;
    this.#byKey.set(formatRequestKey(waiting.id), waiting);
    this.#getQueue(waiting).add(waiting, now);
    return true;
  }

  find(key: string): WaitingRequest | undefined {
    return this.#byKey.get(key);
  }

  remove(waiting: WaitingRequest): boolean {
    const key = formatRequestKey(waiting.id);
    if (this.#byKey.get(key) !== waiting) return false;
    this.#byKey.delete(key);
    const queue = this.#getQueue(waiting);
    queue.remove(waiting);
    queue.dropIdle();
    return true;
  }

  clear(): void {
    this.#byKey.clear();
    this.#queues.clear();
  }

  /** Charges a placed request to its workspace. */
  noteServed({ pool, priority, workspace, cost }: WaitingRequest): void {
    const queue = this.#getQueue({ pool, priority });
    queue.noteServed(workspace, { tokens: cost, weight: WEIGHT });
    queue.noteFinished({ tokens: cost, weight: WEIGHT });
  }

  /** The first request of the pool that `accepts` allows. */
  findNext(
    pool: PoolName,
    now: number,
    accepts: (waiting: WaitingRequest) => boolean,
  ): WaitingRequest | undefined {
    const queues = [...this.#queues.get(pool) ?? []]
      .filter(([, queue]) => queue.size > 0)
      .sort(([left], [right]) => left - right);
    for (const [, queue] of queues) {
      const next = queue.findFirst(now, accepts);
      if (next !== undefined) return next;
    }
    return undefined;
  }

  /** Pools with waiting requests. */
  listPools(): PoolName[] {
    return [...new Set([...this.#byKey.values()].map(({ pool }) => pool))];
  }

  /** Requests of the pool that wait. */
  count(pool: PoolName): number {
    let count = 0;
    for (const waiting of this.#byKey.values()) {
      if (waiting.pool === pool) count += 1;
    }
    return count;
  }

  /** Requests that can no longer be of use. */
  listExpired(now: number): WaitingRequest[] {
    return [...this.#byKey.values()].filter(({ dropAt }) => dropAt < now);
  }

  /** Requests of the pool that are late, the oldest first. */
  listLate(pool: PoolName, now: number): WaitingRequest[] {
    return [...this.#byKey.values()]
      .filter((each) => each.pool === pool && each.startBy < now)
      .sort((left, right) => left.arrivedAt - right.arrivedAt);
  }

  /** Requests that another VM sent. */
  listOf(vm: VmId): WaitingRequest[] {
    return [...this.#byKey.values()].filter(({ id }) => id.vm === vm);
  }

  #getQueue(
    { pool, priority }: { pool: PoolName; priority: number },
  ): FairQueue<WaitingRequest> {
    const queues = this.#queues.get(pool) ?? new Map();
    this.#queues.set(pool, queues);
    const queue = queues.get(priority) ?? FairQueue.create(QUEUE_OPTIONS);
    queues.set(priority, queue);
    return queue;
  }
}
