/**
 * How long whole answers took lately, by request class.
 *
 * @module
 */
import type { ClassName } from "../ids.ts";
import type { Clock } from "./clock.ts";
import { SlidingHistogram } from "./sliding_histogram.ts";

const SLOT_MS = 60_000;
const SLOTS = 2;
/** Fewer answers say little about the longest ones. */
const MIN_ANSWERS = 20;
const LONG_PERCENTILE = 99;

/** Times from the arrival of a request to the end of its answer. */
export class AnswerTimes {
  readonly #clock: Clock;
  readonly #classes = new Map<ClassName, SlidingHistogram>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): AnswerTimes {
    return new AnswerTimes(clock);
  }

  /** Adds the time of a whole answer, in milliseconds. */
  add(className: ClassName, ms: number): void {
    let recent = this.#classes.get(className);
    if (recent === undefined) {
      const window = { clock: this.#clock, slotMs: SLOT_MS, slots: SLOTS };
      recent = SlidingHistogram.create(window);
      this.#classes.set(className, recent);
    }
    recent.record(ms);
  }

  /**
   * Time within which almost all answers of the class were whole, in
   * milliseconds; undefined where too few are known.
   */
  computeLongMs(className: ClassName): number | undefined {
    const histogram = this.#classes.get(className)?.collect();
    if (histogram === undefined || histogram.count < MIN_ANSWERS) {
      return undefined;
    }
    return histogram.getPercentile(LONG_PERCENTILE);
  }
}
