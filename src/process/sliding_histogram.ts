/**
 * Sliding-window histogram of durations, in time slots.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { LatencyHistogram } from "./latency_histogram.ts";

/** Window of a sliding histogram: `slots` slots of `slotMs` milliseconds. */
export interface SlidingWindow {
  clock: Clock;
  slotMs: number;
  slots: number;
}

/** Histogram of the durations that were recorded in the window. */
export class SlidingHistogram {
  readonly #window: SlidingWindow;
  readonly #histograms = new Map<number, LatencyHistogram>();

  constructor(window: SlidingWindow) {
    this.#window = window;
  }

  static create(window: SlidingWindow): SlidingHistogram {
    return new SlidingHistogram(window);
  }

  record(ms: number): void {
    const slot = this.#getSlot();
    let histogram = this.#histograms.get(slot);
    if (histogram === undefined) {
      this.#dropOld(slot);
      histogram = LatencyHistogram.create();
      this.#histograms.set(slot, histogram);
    }
    histogram.record(ms);
  }

  /** Merges the window into one histogram. */
  collect(): LatencyHistogram {
    this.#dropOld(this.#getSlot());
    const merged = LatencyHistogram.create();
    for (const histogram of this.#histograms.values()) merged.merge(histogram);
    return merged;
  }

  #getSlot(): number {
    return Math.floor(this.#window.clock.now() / this.#window.slotMs);
  }

  #dropOld(current: number): void {
    for (const slot of this.#histograms.keys()) {
      if (slot <= current - this.#window.slots) this.#histograms.delete(slot);
    }
  }
}
