/**
 * Virtual time, in which production code runs without real delays.
 *
 * @module
 */
import { type CancelTimer, Clock } from "../src/process/clock.ts";

interface Timer {
  at: number;
  order: number;
  callback: (() => void) | undefined;
}

/** A clock that advances only within `run`. */
export class VirtualClock extends Clock {
  #now = 0;
  #order = 0;
  #timers: Timer[] = [];

  static create(): VirtualClock {
    return new VirtualClock();
  }

  now(): number {
    return this.#now;
  }

  wallTime(): number {
    return this.#now;
  }

  startTimer(ms: number, callback: () => void): CancelTimer {
    const timer: Timer = {
      at: this.#now + Math.max(0, ms),
      order: this.#order++,
      callback,
    };
    this.#push(timer);
    return () => {
      timer.callback = undefined;
    };
  }

  /**
   * Advances by `ms`: fires the timers that are due, in order, and runs pending
   * tasks after each time.
   */
  async run(ms: number): Promise<void> {
    const end = this.#now + ms;
    await flushTasks();
    while (this.#timers.length > 0 && this.#timers[0]!.at <= end) {
      const at = this.#timers[0]!.at;
      this.#now = at;
      let fired = false;
      while (this.#timers.length > 0 && this.#timers[0]!.at === at) {
        const timer = this.#pop();
        if (timer.callback === undefined) continue;
        timer.callback();
        fired = true;
      }
      if (fired) await flushTasks();
    }
    this.#now = end;
  }

  #push(timer: Timer): void {
    const heap = this.#timers;
    let index = heap.length;
    heap.push(timer);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(timer, heap[parent]!)) break;
      heap[index] = heap[parent]!;
      index = parent;
    }
    heap[index] = timer;
  }

  #pop(): Timer {
    const heap = this.#timers;
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) return first;
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      const right = child + 1;
      if (right < heap.length && isBefore(heap[right]!, heap[child]!)) {
        child = right;
      }
      if (!isBefore(heap[child]!, last)) break;
      heap[index] = heap[child]!;
      index = child;
    }
    heap[index] = last;
    return first;
  }
}

function isBefore(left: Timer, right: Timer): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

/** Runs all pending promise callbacks. */
export function flushTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
