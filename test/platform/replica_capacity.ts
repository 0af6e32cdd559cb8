/**
 * Capacity of a stand-in for a replica: slots, a short queue, and a fall if it
 * has to turn away too many requests within a second.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const WINDOW_MS = 1_000;

/** Options of `ReplicaCapacity`. */
export interface ReplicaCapacityOptions {
  slots: number;
  /** Time that each call takes. */
  callMs: number;
  /** Calls that may wait for a slot. */
  maxWaiting: number;
  /** Rejections within a second above which the replica falls over. */
  maxRejectionsPerS: number;
  /** Time until it is back after a fall. */
  downMs: number;
}

/** What becomes of an arriving call. */
export type Admission = "run" | "rejected" | "down";

/** Admits calls while there is room. */
export class ReplicaCapacity {
  readonly #options: ReplicaCapacityOptions;
  readonly #waiting: (() => void)[] = [];
  #rejections: number[] = [];
  #downUntil = -Infinity;
  #running = 0;
  falls = 0;
  served = 0;

  constructor(options: ReplicaCapacityOptions) {
    this.#options = options;
  }

  static create(options: ReplicaCapacityOptions): ReplicaCapacity {
    return new ReplicaCapacity(options);
  }

  /** Runs a call once there is a slot for it. */
  async run(): Promise<Admission> {
    const now = performance.now();
    if (now < this.#downUntil) return "down";
    const { slots, maxWaiting, callMs } = this.#options;
    if (this.#running >= slots) {
      if (this.#waiting.length >= maxWaiting) return this.#addRejection(now);
      await new Promise<void>((resolve) => this.#waiting.push(resolve));
    } else {
      this.#running += 1;
    }
    await sleep(callMs);
    const next = this.#waiting.shift();
    if (next === undefined) this.#running -= 1;
    else next();
    if (performance.now() < this.#downUntil) return "down";
    this.served += 1;
    return "run";
  }

  #addRejection(now: number): Admission {
    const { maxRejectionsPerS, downMs } = this.#options;
    this.#rejections = this.#rejections.filter((at) => at > now - WINDOW_MS);
    this.#rejections.push(now);
    if (this.#rejections.length <= maxRejectionsPerS) return "rejected";
    this.#rejections = [];
    this.#downUntil = now + downMs;
    this.falls += 1;
    return "down";
  }
}
