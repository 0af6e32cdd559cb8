/**
 * Output lengths, which nobody knows in advance: learnt per class and
 * workspace as histograms.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";

/** Samples below which a histogram says nothing yet. */
export const MIN_SAMPLES = 20;
/** Histograms kept per shard; the one unused for longest goes first. */
const MAX_HISTOGRAMS = 512;
const MAX_TOKENS = 1_000_000;
const DIGITS = 2;
/** Samples after which a histogram starts anew, so that it follows change. */
const MAX_SAMPLES = 2_000;
const MEDIAN = 50;
const HIGHEST = 100;

/** A guess at how many tokens a request will generate in all. */
export interface LengthGuess {
  tokens: number;
  /** False while the guess is the class's cap and not learnt. */
  learnt: boolean;
}

interface Learnt {
  histogram: Histogram;
  /** Samples since the start; the previous histogram serves meanwhile. */
  previous: Histogram | undefined;
  median: number;
}

/** What a guess is wanted for. */
export interface LengthQuestion {
  requestClass: RequestClass;
  workspace: WorkspaceName;
  /** The caller's own cap. */
  maxTokens: number;
  /** Tokens that are there already. */
  doneTokens: number;
}

/** Learns output lengths. */
export class OutputLengths {
  readonly #learnt = new Map<string, Learnt>();
  readonly #enabled: boolean;

  constructor(enabled: boolean) {
    this.#enabled = enabled;
  }

  static create(enabled = true): OutputLengths {
    return new OutputLengths(enabled);
  }

  /** Takes in the whole length of an answer that came to its end. */
  record(
    className: ClassName,
    sample: { workspace: WorkspaceName; tokens: number },
  ): void {
    const tokens = Math.min(MAX_TOKENS, Math.max(1, Math.round(sample.tokens)));
    this.#recordIn(className, tokens);
    this.#recordIn(`${className}/${sample.workspace}`, tokens);
  }

  /**
   * The median of the workspace in the class, else of the class. At a cold
   * start the class's `maxOutputTokens` is the guess.
   */
  computeGuess(question: LengthQuestion): LengthGuess {
    const { requestClass, workspace, maxTokens, doneTokens } = question;
    const cap = Math.min(maxTokens, requestClass.maxOutputTokens);
    const learnt = this.#find(requestClass.name, workspace);
    if (learnt === undefined) return { tokens: cap, learnt: false };
    const total = doneTokens === 0
      ? learnt.median
      : computeMedianAbove(getWhole(learnt), doneTokens);
    return { tokens: Math.min(cap, Math.max(1, total)), learnt: true };
  }

  #find(
    className: ClassName,
    workspace: WorkspaceName,
  ): Learnt | undefined {
    if (!this.#enabled) return undefined;
    return this.#findEnough(`${className}/${workspace}`) ??
      this.#findEnough(className);
  }

  #findEnough(key: string): Learnt | undefined {
    const learnt = this.#learnt.get(key);
    if (learnt === undefined) return undefined;
    return getWhole(learnt).totalCount >= MIN_SAMPLES ? learnt : undefined;
  }

  #recordIn(key: string, tokens: number): void {
    let learnt = this.#learnt.get(key);
    if (learnt === undefined) {
      learnt = { histogram: buildEmpty(), previous: undefined, median: 0 };
    }
    // Put at the end again, so that the first key is the one unused longest.
    this.#learnt.delete(key);
    this.#learnt.set(key, learnt);
    learnt.histogram.recordValue(tokens);
    if (learnt.histogram.totalCount >= MAX_SAMPLES) {
      learnt.previous = learnt.histogram;
      learnt.histogram = buildEmpty();
    }
    learnt.median = getWhole(learnt).getValueAtPercentile(MEDIAN);
    if (this.#learnt.size > MAX_HISTOGRAMS) {
      const oldest = this.#learnt.keys().next().value;
      if (oldest !== undefined) this.#learnt.delete(oldest);
    }
  }
}

function buildEmpty(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TOKENS,
    numberOfSignificantValueDigits: DIGITS,
  });
}

function getWhole(learnt: Learnt): Histogram {
  const { histogram, previous } = learnt;
  if (previous === undefined) return histogram;
  return histogram.totalCount >= MIN_SAMPLES ? histogram : previous;
}

/** The median of the lengths above `done`, found by bisection of percentiles. */
function computeMedianAbove(histogram: Histogram, done: number): number {
  let low = 0;
  let high = HIGHEST;
  while (high - low > 0.5) {
    const middle = (low + high) / 2;
    if (histogram.getValueAtPercentile(middle) <= done) low = middle;
    else high = middle;
  }
  const median = histogram.getValueAtPercentile((low + HIGHEST) / 2);
  return Math.max(done + 1, median);
}
