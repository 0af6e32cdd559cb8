/**
 * How many slots a replica gets: adapted to what callers see of it.
 *
 * @module
 */
import type { UpstreamPool } from "../../version/records.ts";

/** How often the limit changes at most, in milliseconds. */
const ADJUST_EVERY_MS = 1_000;
/** Mean time between tokens as a part of the target. */
const COMFORTABLE = 0.85;
const TOO_SLOW = 1.0;
const DECREASE = 0.85;
/** Cache memory in use above which no slot is added, or one is taken. */
const CACHE_FULL = 0.9;
const CACHE_OVERFULL = 0.97;
const SAMPLE_WEIGHT = 0.2;

/**
 * Additive increase, multiplicative decrease: one slot more while the replica
 * is full and its tokens come well within their targets, a share less when
 * they do not or when cache memory runs out.
 */
export class SlotLimit {
  readonly #adaptive: boolean;
  #limit: number;
  #min: number;
  #max: number;
  /** Smoothed time between tokens divided by the target. */
  #ratio: number | undefined;
  #samples = 0;
  #cacheUsed = 0;
  #engineWaiting = 0;
  #adjustedAt = 0;
  #wasFull = false;

  constructor(slots: UpstreamPool["slots"], options: { adaptive: boolean }) {
    this.#limit = slots.initial;
    this.#min = slots.min;
    this.#max = slots.max;
    this.#adaptive = options.adaptive;
  }

  static create(
    slots: UpstreamPool["slots"],
    options: { adaptive: boolean },
  ): SlotLimit {
    return new SlotLimit(slots, options);
  }

  get slots(): number {
    return Math.floor(this.#limit);
  }

  /** Takes over changed bounds of the pool. */
  setBounds(slots: UpstreamPool["slots"]): void {
    this.#min = slots.min;
    this.#max = slots.max;
    if (!this.#adaptive) this.#limit = slots.initial;
    this.#limit = Math.min(this.#max, Math.max(this.#min, this.#limit));
  }

  /** A lease's time between tokens as a part of its class's target. */
  noteRatio(ratio: number): void {
    this.#samples++;
    this.#ratio = this.#ratio === undefined
      ? ratio
      : this.#ratio + SAMPLE_WEIGHT * (ratio - this.#ratio);
  }

  /** What a report, young enough, says of memory and the engine's queue. */
  noteReport(report: { cacheUsed: number; waiting: number }): void {
    this.#cacheUsed = report.cacheUsed;
    this.#engineWaiting = report.waiting;
  }

  /** A report that is missing or too old says nothing. */
  dropReport(): void {
    this.#cacheUsed = 0;
    this.#engineWaiting = 0;
  }

  /** Notes that all slots are in use: only then does more room help. */
  noteFull(): void {
    this.#wasFull = true;
  }

  /** Changes the limit if the time has come. */
  update(now: number): void {
    if (!this.#adaptive) return;
    if (now - this.#adjustedAt < ADJUST_EVERY_MS) return;
    this.#adjustedAt = now;
    const next = this.#computeNext();
    this.#limit = Math.min(this.#max, Math.max(this.#min, next));
    this.#wasFull = false;
    this.#samples = 0;
  }

  #computeNext(): number {
    if (this.#cacheUsed >= CACHE_OVERFULL) return this.#limit * DECREASE;
    // Without a new sample the last change has not been felt yet.
    if (this.#samples === 0 || this.#ratio === undefined) return this.#limit;
    if (this.#ratio > TOO_SLOW) return this.#limit * DECREASE;
    const mayGrow = this.#wasFull && this.#ratio < COMFORTABLE &&
      this.#cacheUsed < CACHE_FULL && this.#engineWaiting === 0;
    return mayGrow ? this.#limit + 1 : this.#limit;
  }
}
