/**
 * Mergeable histograms of durations, with an error of at most one per cent.
 * They take and return milliseconds and store microseconds.
 *
 * @module
 */
import {
  build,
  decodeFromCompressedBase64,
  encodeIntoCompressedBase64,
  type Histogram,
} from "hdr-histogram-js";

const SIGNIFICANT_DIGITS = 2;
const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 2 ** 45;
/** Packed counts take a few kilobytes, dense ones take 14 kB. */
const BUCKET_SIZE = "packed";

/** Histogram of durations. */
export class LatencyHistogram {
  readonly #histogram: Histogram;

  constructor(histogram: Histogram) {
    this.#histogram = histogram;
  }

  static create(): LatencyHistogram {
    return new LatencyHistogram(build({
      bitBucketSize: BUCKET_SIZE,
      lowestDiscernibleValue: 1,
      highestTrackableValue: 2,
      numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
      autoResize: true,
    }));
  }

  /** Decodes text from `encode`. Throws on any other text. */
  static decode(encoded: string): LatencyHistogram {
    const histogram = decodeFromCompressedBase64(encoded, BUCKET_SIZE);
    histogram.autoResize = true;
    return new LatencyHistogram(histogram);
  }

  get count(): number {
    return this.#histogram.totalCount;
  }

  record(ms: number): void {
    const microseconds = Math.round(ms * MICROSECONDS_PER_MS);
    const bounded = Math.min(Math.max(0, microseconds), MAX_MICROSECONDS);
    this.#histogram.recordValue(bounded);
  }

  /** Adds all values of `other`. */
  merge(other: LatencyHistogram): void {
    this.#histogram.add(other.#histogram);
  }

  /** The duration in milliseconds at `percentile` (0 to 100); 0 if empty. */
  getPercentile(percentile: number): number {
    if (this.count === 0) return 0;
    const microseconds = this.#histogram.getValueAtPercentile(percentile);
    return microseconds / MICROSECONDS_PER_MS;
  }

  /** Encodes the histogram as text for `decode`. */
  encode(): string {
    return encodeIntoCompressedBase64(this.#histogram);
  }
}

/** Merges histograms that `encode` wrote. Throws on any other text. */
export function mergeEncoded(encoded: readonly string[]): string {
  const merged = LatencyHistogram.create();
  for (const text of encoded) merged.merge(LatencyHistogram.decode(text));
  return merged.encode();
}
