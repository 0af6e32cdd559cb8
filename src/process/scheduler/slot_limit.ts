/**
 * How many slots a replica gets: adapted to what callers see of it.
 *
 * @module
 */
import type { ClassName } from "../../ids.ts";
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

/** How long a class without samples counts, in milliseconds. */
const RATIO_LIFE_MS = 5_000;

interface RatioTrack {
  ratio: number;
  at: number;
}

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
  /** Per class: smoothed time between tokens divided by the target. */
  readonly #ratios = new Map<ClassName, RatioTrack>();
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
  noteRatio(
    className: ClassName,
    sample: { ratio: number; now: number },
  ): void {
    const { ratio, now } = sample;
    const track = this.#ratios.get(className);
    this.#samples++;
    if (track === undefined) {
      this.#ratios.set(className, { ratio, at: now });
      return;
    }
    track.ratio += SAMPLE_WEIGHT * (ratio - track.ratio);
    track.at = now;
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
    const next = this.#computeNext(now);
    this.#limit = Math.min(this.#max, Math.max(this.#min, next));
    this.#wasFull = false;
    this.#samples = 0;
  }

  #computeNext(now: number): number {
    if (this.#cacheUsed >= CACHE_OVERFULL) return this.#limit * DECREASE;
    // Without a new sample the last change has not been felt yet.
    const ratio = this.#findWorstRatio(now);
    if (this.#samples === 0 || ratio === undefined) return this.#limit;
    if (ratio > TOO_SLOW) return this.#limit * DECREASE;
    const mayGrow = this.#wasFull && ratio < COMFORTABLE &&
      this.#cacheUsed < CACHE_FULL && this.#engineWaiting === 0;
    return mayGrow ? this.#limit + 1 : this.#limit;
  }

  /** The class that is worst off decides: a mean would hide its misses. */
  #findWorstRatio(now: number): number | undefined {
    let worst: number | undefined;
    for (const track of this.#ratios.values()) {
      if (now - track.at > RATIO_LIFE_MS) continue;
      if (worst === undefined || track.ratio > worst) worst = track.ratio;
    }
    return worst;
  }
}
