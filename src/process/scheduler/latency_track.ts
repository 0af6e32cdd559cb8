/**
 * Recent latencies and failures of one replica.
 *
 * @module
 */

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.2;
/** Samples below which a replica is not compared with others. */
const MIN_SAMPLES = 5;

/** Moving averages of latencies relative to their targets, and failures. */
export class LatencyTrack {
  #firstToken: number | undefined;
  #betweenTokens: number | undefined;
  #samples = 0;
  #failures = 0;

  static create(): LatencyTrack {
    return new LatencyTrack();
  }

  /** Consecutive failures. */
  get failures(): number {
    return this.#failures;
  }

  /**
   * Latency relative to the target, to compare replicas by; undefined while
   * there are too few samples. Ratios to the targets make classes with short
   * and with long prompts comparable.
   */
  get slowness(): number | undefined {
    if (this.#samples < MIN_SAMPLES) return undefined;
    return Math.max(this.#firstToken ?? 0, this.#betweenTokens ?? 0);
  }

  noteFirstToken(ratio: number): void {
    this.#firstToken = updateMean(this.#firstToken, ratio);
    this.#samples++;
    this.#failures = 0;
  }

  noteBetweenTokens(ratio: number): void {
    this.#betweenTokens = updateMean(this.#betweenTokens, ratio);
    this.#samples++;
    this.#failures = 0;
  }

  noteFailure(): void {
    this.#failures++;
  }

  noteSuccess(): void {
    this.#failures = 0;
  }

  /** Drops all samples, so that old ones do not count after a return. */
  clear(): void {
    this.#firstToken = undefined;
    this.#betweenTokens = undefined;
    this.#samples = 0;
    this.#failures = 0;
  }
}

function updateMean(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}
