/**
 * Adaptive concurrency limit of a replica.
 *
 * @module
 */
import type { ClassName } from "../../ids.ts";
import type { UpstreamPool } from "../../version/records.ts";

/** Minimum time between two changes of the limit. */
const ADJUST_INTERVAL_MS = 1_000;
/** Bounds of the ratio of the smoothed time between tokens to its target. */
const GROW_BELOW_RATIO = 0.85;
const SHRINK_ABOVE_RATIO = 1.0;
const DECREASE_FACTOR = 0.85;
/** The limit grows only while less of the cache memory is in use. */
const GROW_BELOW_CACHE = 0.9;
/** The limit shrinks when this share of the cache memory is in use. */
const MAX_CACHE_USED = 0.97;
/** Weight of a new sample in the smoothed ratios. */
const SAMPLE_WEIGHT = 0.2;
/** How long a class's ratio is used after its last sample. */
const RATIO_TTL_MS = 5_000;

interface RatioTrack {
  ratio: number;
  at: number;
}

/**
 * Additive increase, multiplicative decrease (AIMD) of the slots: adds a slot
 * while all are in use and the time between tokens is well within its target,
 * and removes a share when it is above the target or cache memory runs out.
 */
export class SlotLimit {
  readonly #adaptive: boolean;
  #limit: number;
  #min: number;
  #max: number;
  /** Smoothed time between tokens divided by the target, by class. */
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

  /** Applies the pool's slot bounds. */
  setBounds(slots: UpstreamPool["slots"]): void {
    this.#min = slots.min;
    this.#max = slots.max;
    if (!this.#adaptive) this.#limit = slots.initial;
    this.#limit = Math.min(this.#max, Math.max(this.#min, this.#limit));
  }

  /** Records a lease's time between tokens, divided by its class's target. */
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

  /** Records cache memory and engine queue length from a recent report. */
  noteReport(report: { cacheUsed: number; waiting: number }): void {
    this.#cacheUsed = report.cacheUsed;
    this.#engineWaiting = report.waiting;
  }

  /** Resets the reported values when the report is missing or too old. */
  dropReport(): void {
    this.#cacheUsed = 0;
    this.#engineWaiting = 0;
  }

  /** Records that all slots are in use; the limit grows only then. */
  noteFull(): void {
    this.#wasFull = true;
  }

  /** Adapts the limit, at most once per interval. */
  update(now: number): void {
    if (!this.#adaptive) return;
    if (now - this.#adjustedAt < ADJUST_INTERVAL_MS) return;
    this.#adjustedAt = now;
    const next = this.#computeNextLimit(now);
    this.#limit = Math.min(this.#max, Math.max(this.#min, next));
    this.#wasFull = false;
    this.#samples = 0;
  }

  #computeNextLimit(now: number): number {
    if (this.#cacheUsed >= MAX_CACHE_USED) return this.#limit * DECREASE_FACTOR;
    // Without a new sample the effect of the last change is not visible yet.
    const ratio = this.#findWorstRatio(now);
    if (this.#samples === 0 || ratio === undefined) return this.#limit;
    if (ratio > SHRINK_ABOVE_RATIO) return this.#limit * DECREASE_FACTOR;
    const canGrow = this.#wasFull && ratio < GROW_BELOW_RATIO &&
      this.#cacheUsed < GROW_BELOW_CACHE && this.#engineWaiting === 0;
    return canGrow ? this.#limit + 1 : this.#limit;
  }

  /** Returns the highest ratio of any class; a mean would hide its misses. */
  #findWorstRatio(now: number): number | undefined {
    let worst: number | undefined;
    for (const track of this.#ratios.values()) {
      if (now - track.at > RATIO_TTL_MS) continue;
      if (worst === undefined || track.ratio > worst) worst = track.ratio;
    }
    return worst;
  }
}
