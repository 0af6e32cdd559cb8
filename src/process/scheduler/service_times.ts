/**
 * Estimates service times per class from finished leases.
 *
 * @module
 */
import type { ClassName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";

/** Weight of a new sample in the moving averages. */
const SAMPLE_WEIGHT = 0.1;
/** Minimum number of samples for a class's times to be used. */
const MIN_SAMPLES = 5;
/**
 * Maximum age of the latest sample for an estimate to justify a refusal.
 * Without it, a shard that was slow for a while could refuse every request
 * forever, because refused requests yield no new samples.
 */
export const MAX_SAMPLE_AGE_MS = 15_000;
/** Part of a class's targets that is the estimate before it has samples. */
const COLD_START_SHARE = 0.5;

/** Moving averages of one class, in milliseconds. */
interface ClassTimes {
  samples: number;
  sampledAt: number;
  firstTokenMs: number;
  betweenTokensMs: number;
  /** Total time in a slot, for requests without tokens. */
  slotMs: number;
}

/** Measured times of a finished lease, in milliseconds. */
export interface ServiceTimeSample {
  className: ClassName;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  slotMs: number;
  now: number;
}

/** The estimated service time of a request, in milliseconds. */
export interface ServiceTimeEstimate {
  firstTokenMs: number;
  totalMs: number;
  /** Whether it is based on recent samples. */
  learnt: boolean;
}

/** Learns and estimates service times per class. */
export class ServiceTimes {
  readonly #timesByClass = new Map<ClassName, ClassTimes>();

  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  record(sample: ServiceTimeSample): void {
    const times = this.#timesByClass.get(sample.className) ?? {
      samples: 0,
      sampledAt: 0,
      firstTokenMs: sample.firstTokenMs ?? 0,
      betweenTokensMs: sample.betweenTokensMs ?? 0,
      slotMs: sample.slotMs,
    };
    this.#timesByClass.set(sample.className, times);
    times.samples++;
    times.sampledAt = sample.now;
    times.slotMs = updateMean(times.slotMs, sample.slotMs);
    times.firstTokenMs = updateMean(times.firstTokenMs, sample.firstTokenMs);
    times.betweenTokensMs = updateMean(
      times.betweenTokensMs,
      sample.betweenTokensMs,
    );
  }

  /** Estimates the slot time of a request with `tokens` left to generate. */
  computeEstimate(
    requestClass: RequestClass,
    options: { tokens: number; hasTokens: boolean; now: number },
  ): ServiceTimeEstimate {
    const times = this.#timesByClass.get(requestClass.name);
    if (times === undefined || times.samples < MIN_SAMPLES) {
      return computeColdStartEstimate(requestClass, options);
    }
    const totalMs = options.hasTokens
      ? times.firstTokenMs + options.tokens * times.betweenTokensMs
      : times.slotMs;
    const learnt = options.now - times.sampledAt <= MAX_SAMPLE_AGE_MS;
    return { firstTokenMs: times.firstTokenMs, totalMs, learnt };
  }
}

function updateMean(mean: number, sample: number | undefined): number {
  return sample === undefined ? mean : mean + SAMPLE_WEIGHT * (sample - mean);
}

/** Returns a part of the class's targets as the estimate without samples. */
function computeColdStartEstimate(
  requestClass: RequestClass,
  options: { tokens: number; hasTokens: boolean },
): ServiceTimeEstimate {
  const { targets } = requestClass;
  const firstTokenMs = COLD_START_SHARE * targets.firstTokenMs;
  const totalMs = options.hasTokens
    ? firstTokenMs + COLD_START_SHARE * options.tokens * targets.betweenTokensMs
    : COLD_START_SHARE * targets.totalMs;
  return {
    firstTokenMs,
    totalMs: Math.min(totalMs, targets.totalMs),
    learnt: false,
  };
}
