/**
 * Estimates output lengths, which are not known in advance, from histograms per
 * class and workspace.
 *
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { ClassName, WorkspaceName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";

/** Minimum number of samples for a histogram to be used. */
export const MIN_SAMPLES = 20;
/** Histograms kept per shard; the least recently updated one is evicted. */
const MAX_HISTOGRAMS = 512;
/** Largest length that is recorded; longer ones count as this. */
const MAX_TOKENS = 1_000_000;
const SIGNIFICANT_DIGITS = 2;
/** Samples after which a histogram is replaced, to follow changing traffic. */
const MAX_SAMPLES_PER_HISTOGRAM = 2_000;
const MEDIAN_PERCENTILE = 50;
const MAX_PERCENTILE = 100;

/** The estimated total number of tokens that a request will generate. */
export interface LengthEstimate {
  tokens: number;
  /** False if the estimate is a cap because there are too few samples. */
  learnt: boolean;
}

interface LengthHistory {
  histogram: Histogram;
  /** The replaced histogram, used until the new one has enough samples. */
  previous: Histogram | undefined;
  median: number;
}

/** The request to estimate the output length of. */
export interface LengthQuery {
  requestClass: RequestClass;
  workspace: WorkspaceName;
  /** Output cap set by the caller. */
  maxTokens: number;
  /** Tokens generated already; not 0 for a resumed stream. */
  doneTokens: number;
}

/** Learns and estimates output lengths. */
export class OutputLengths {
  readonly #histories = new Map<string, LengthHistory>();
  readonly #enabled: boolean;

  constructor(enabled: boolean) {
    this.#enabled = enabled;
  }

  static create(enabled = true): OutputLengths {
    return new OutputLengths(enabled);
  }

  /** Records the total length of a finished answer. */
  record(
    className: ClassName,
    sample: { workspace: WorkspaceName; tokens: number },
  ): void {
    const tokens = Math.min(MAX_TOKENS, Math.max(1, Math.round(sample.tokens)));
    this.#recordAt(className, tokens);
    this.#recordAt(`${className}/${sample.workspace}`, tokens);
  }

  /**
   * Returns the median of the workspace in the class, or of the class if there
   * are too few samples. At a cold start the estimate is the output cap.
   */
  computeEstimate(query: LengthQuery): LengthEstimate {
    const { requestClass, workspace, maxTokens, doneTokens } = query;
    const cap = Math.min(maxTokens, requestClass.maxOutputTokens);
    const history = this.#find(requestClass.name, workspace);
    if (history === undefined) return { tokens: cap, learnt: false };
    const total = doneTokens === 0
      ? history.median
      : computeMedianAbove(getUsableHistogram(history), doneTokens);
    return { tokens: Math.min(cap, Math.max(1, total)), learnt: true };
  }

  #find(
    className: ClassName,
    workspace: WorkspaceName,
  ): LengthHistory | undefined {
    if (!this.#enabled) return undefined;
    return this.#findUsable(`${className}/${workspace}`) ??
      this.#findUsable(className);
  }

  #findUsable(key: string): LengthHistory | undefined {
    const history = this.#histories.get(key);
    if (history === undefined) return undefined;
    return getUsableHistogram(history).totalCount >= MIN_SAMPLES
      ? history
      : undefined;
  }

  #recordAt(key: string, tokens: number): void {
    let history = this.#histories.get(key);
    if (history === undefined) {
      history = {
        histogram: buildEmptyHistogram(),
        previous: undefined,
        median: 0,
      };
    }
    // Reinsert at the end, so that the first key is the least recently updated.
    this.#histories.delete(key);
    this.#histories.set(key, history);
    history.histogram.recordValue(tokens);
    if (history.histogram.totalCount >= MAX_SAMPLES_PER_HISTOGRAM) {
      history.previous = history.histogram;
      history.histogram = buildEmptyHistogram();
    }
    history.median = getUsableHistogram(history).getValueAtPercentile(
      MEDIAN_PERCENTILE,
    );
    if (this.#histories.size > MAX_HISTOGRAMS) {
      const oldest = this.#histories.keys().next().value;
      if (oldest !== undefined) this.#histories.delete(oldest);
    }
  }
}

function buildEmptyHistogram(): Histogram {
  return build({
    bitBucketSize: 32,
    autoResize: true,
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_TOKENS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  });
}

function getUsableHistogram(history: LengthHistory): Histogram {
  const { histogram, previous } = history;
  if (previous === undefined) return histogram;
  return histogram.totalCount >= MIN_SAMPLES ? histogram : previous;
}

/** Returns the median of the lengths above `done`, by bisecting percentiles. */
function computeMedianAbove(histogram: Histogram, done: number): number {
  let low = 0;
  let high = MAX_PERCENTILE;
  while (high - low > 0.5) {
    const middle = (low + high) / 2;
    if (histogram.getValueAtPercentile(middle) <= done) low = middle;
    else high = middle;
  }
  const median = histogram.getValueAtPercentile((low + MAX_PERCENTILE) / 2);
  return Math.max(done + 1, median);
}
