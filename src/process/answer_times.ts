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

/** Recent answers of one class. */
interface RecentAnswers {
  histogram: SlidingHistogram;
  /** `Clock.now()` at the last one. */
  lastAt: number;
}

/** Times from the arrival of a request to the end of its answer. */
export class AnswerTimes {
  readonly #clock: Clock;
  readonly #classes = new Map<ClassName, RecentAnswers>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): AnswerTimes {
    return new AnswerTimes(clock);
  }

  /** Adds the time of a whole answer, in milliseconds. */
  add(className: ClassName, ms: number): void {
    const recent = this.#classes.get(className) ?? this.#addClass(className);
    recent.lastAt = this.#clock.now();
    recent.histogram.record(ms);
  }

  /**
   * Time within which almost all answers of the class were whole, in
   * milliseconds; undefined where too few are known.
   */
  computeLongMs(className: ClassName): number | undefined {
    const histogram = this.#classes.get(className)?.histogram.collect();
    if (histogram === undefined || histogram.count < MIN_ANSWERS) {
      return undefined;
    }
    return histogram.getPercentile(LONG_PERCENTILE);
  }

  /** Configurations replace classes, so those without answers are dropped. */
  #addClass(className: ClassName): RecentAnswers {
    const now = this.#clock.now();
    for (const [name, { lastAt }] of this.#classes) {
      if (now - lastAt > SLOTS * SLOT_MS) this.#classes.delete(name);
    }
    const window = { clock: this.#clock, slotMs: SLOT_MS, slots: SLOTS };
    const histogram = SlidingHistogram.create(window);
    const recent = { histogram, lastAt: now };
    this.#classes.set(className, recent);
    return recent;
  }
}
