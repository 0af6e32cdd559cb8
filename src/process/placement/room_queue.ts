/**
 * Requests of one VM that wait until it may place one more.
 *
 * @module
 */
import type { PoolName } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Requests that may wait at a time. */
const MAX_WAITING = 500;
/** Waiting requests look for room this often at least. */
const RETRY_MS = 50;

/** Place of a request in the queue. */
export interface WaitingTurn {
  pool: PoolName;
  /** Lower priorities go first, then older requests. */
  priority: number;
  arrivedAt: number;
}

interface Waiter extends WaitingTurn {
  wake: () => void;
}

/** Lets one request go on for each that ends. */
export class RoomQueue {
  readonly #clock: Clock;
  readonly #waiters: Waiter[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RoomQueue {
    return new RoomQueue(clock);
  }

  get isFull(): boolean {
    return this.#waiters.length >= MAX_WAITING;
  }

  /** Whether a request of the pool that goes first is waiting. */
  hasEarlier({ pool, priority, arrivedAt }: WaitingTurn): boolean {
    return this.#waiters.some((each) =>
      each.pool === pool &&
      (each.priority - priority || each.arrivedAt - arrivedAt) < 0
    );
  }

  /** Resolves when there may be room, after at most a short time. */
  async wait(turn: WaitingTurn): Promise<void> {
    await new Promise<void>((resolve) => {
      const cancelTimer = this.#clock.startTimer(RETRY_MS, () => waiter.wake());
      const waiter: Waiter = {
        ...turn,
        wake: () => {
          cancelTimer();
          this.#remove(waiter);
          resolve();
        },
      };
      this.#waiters.push(waiter);
      this.#waiters.sort((left, right) =>
        left.priority - right.priority || left.arrivedAt - right.arrivedAt
      );
    });
  }

  /** Ends the wait of the first request of the pool. */
  endFirstWait(pool: PoolName): void {
    this.#waiters.find((waiter) => waiter.pool === pool)?.wake();
  }

  #remove(waiter: Waiter): void {
    const index = this.#waiters.indexOf(waiter);
    if (index >= 0) this.#waiters.splice(index, 1);
  }
}
