/**
 * A histogram of the recent past, in a ring of slots.
 *
 * @module
 */
import type { Clock } from "./clock.ts";
import { LatencyHistogram } from "./latency_histogram.ts";

/** How far back a sliding histogram looks. */
export interface SlidingWindow {
  clock: Clock;
  slotMs: number;
  slots: number;
}

/** Holds what was recorded in the last `slots` times `slotMs`. */
export class SlidingHistogram {
  readonly #window: SlidingWindow;
  readonly #ring = new Map<number, LatencyHistogram>();

  constructor(window: SlidingWindow) {
    this.#window = window;
  }

  static create(window: SlidingWindow): SlidingHistogram {
    return new SlidingHistogram(window);
  }

  record(ms: number): void {
    const slot = this.#getSlot();
    let histogram = this.#ring.get(slot);
    if (histogram === undefined) {
      this.#dropOld(slot);
      histogram = LatencyHistogram.create();
      this.#ring.set(slot, histogram);
    }
    histogram.record(ms);
  }

  /** Everything in the window, as one histogram. */
  collect(): LatencyHistogram {
    this.#dropOld(this.#getSlot());
    const merged = LatencyHistogram.create();
    for (const histogram of this.#ring.values()) merged.merge(histogram);
    return merged;
  }

  #getSlot(): number {
    return Math.floor(this.#window.clock.now() / this.#window.slotMs);
  }

  #dropOld(current: number): void {
    for (const slot of this.#ring.keys()) {
      if (slot <= current - this.#window.slots) this.#ring.delete(slot);
    }
  }
}
