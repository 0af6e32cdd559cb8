/**
 * How one replica's latencies and failures look lately.
 *
 * @module
 */

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.2;
/** Samples below which a replica is not compared with others. */
const MIN_SAMPLES = 5;

/** Smoothed latencies as a part of the class's targets, and failures. */
export class LatencyTrack {
  #firstToken: number | undefined;
  #betweenTokens: number | undefined;
  #samples = 0;
  #failures = 0;

  static create(): LatencyTrack {
    return new LatencyTrack();
  }

  /** Failures one after the other. */
  get failures(): number {
    return this.#failures;
  }

  /**
   * One figure to compare replicas by; undefined before enough is known. Both
   * latencies are parts of their targets, so that classes with short prompts
   * and classes with long ones can be put together.
   */
  get slowness(): number | undefined {
    if (this.#samples < MIN_SAMPLES) return undefined;
    return Math.max(this.#firstToken ?? 0, this.#betweenTokens ?? 0);
  }

  noteFirstToken(ratio: number): void {
    this.#firstToken = mergeSample(this.#firstToken, ratio);
    this.#samples++;
    this.#failures = 0;
  }

  noteBetweenTokens(ratio: number): void {
    this.#betweenTokens = mergeSample(this.#betweenTokens, ratio);
    this.#samples++;
    this.#failures = 0;
  }

  noteFailure(): void {
    this.#failures++;
  }

  noteSuccess(): void {
    this.#failures = 0;
  }

  /** Starts anew, so that old samples do not count after a return. */
  clear(): void {
    this.#firstToken = undefined;
    this.#betweenTokens = undefined;
    this.#samples = 0;
    this.#failures = 0;
  }
}

function mergeSample(mean: number | undefined, sample: number): number {
  return mean === undefined ? sample : mean + SAMPLE_WEIGHT * (sample - mean);
}
