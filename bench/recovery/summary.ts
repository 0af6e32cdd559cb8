/**
 * Summary statistics of measured times.
 *
 * @module
 */

/** Quantiles in milliseconds. */
export interface Summary {
  count: number;
  p50: number;
  p99: number;
  worst: number;
}

/** Computes quantiles by nearest rank. */
export function computeSummary(times: readonly number[]): Summary {
  const sorted = [...times].sort((left, right) => left - right);
  const pick = (share: number) =>
    Math.round(sorted[Math.max(0, Math.ceil(share * sorted.length) - 1)] ?? 0);
  return {
    count: sorted.length,
    p50: pick(0.5),
    p99: pick(0.99),
    worst: pick(1),
  };
}
