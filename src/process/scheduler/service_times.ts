/**
 * How fast the shard serves each class, learnt from finished leases.
 *
 * @module
 */
import type { ClassName } from "../../ids.ts";
import type { RequestClass } from "../../version/records.ts";

/** Weight of a new sample. */
const SAMPLE_WEIGHT = 0.1;
/** Samples below which a speed says nothing yet. */
const MIN_SAMPLES = 5;
/**
 * A figure without a new sample for this long, in milliseconds, is no longer
 * a ground for refusing: after a slow spell everything would be refused, no
 * sample would come, and the refusals would never end.
 */
export const MAX_SAMPLE_AGE_MS = 15_000;
/** Part of the targets that is the guess before anything is known. */
const COLD_SHARE = 0.5;

/** What the shard has learnt of a class; milliseconds. */
interface Speed {
  samples: number;
  sampledAt: number;
  firstTokenMs: number;
  betweenTokensMs: number;
  /** Whole time in a slot, for work without tokens. */
  heldMs: number;
}

/** One finished lease. */
export interface ServiceTimeSample {
  className: ClassName;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  slotMs: number;
  now: number;
}

/** A guess at the time that a request will take, in milliseconds. */
export interface ServiceGuess {
  firstTokenMs: number;
  totalMs: number;
  learnt: boolean;
}

/** Learns times per class. */
export class ServiceTimes {
  readonly #speeds = new Map<ClassName, Speed>();

  static create(): ServiceTimes {
    return new ServiceTimes();
  }

  record(sample: ServiceTimeSample): void {
    const speed = this.#speeds.get(sample.className) ?? {
      samples: 0,
      sampledAt: 0,
      firstTokenMs: sample.firstTokenMs ?? 0,
      betweenTokensMs: sample.betweenTokensMs ?? 0,
      heldMs: sample.slotMs,
    };
    this.#speeds.set(sample.className, speed);
    speed.samples++;
    speed.sampledAt = sample.now;
    speed.heldMs = mergeSample(speed.heldMs, sample.slotMs);
    speed.firstTokenMs = mergeSample(speed.firstTokenMs, sample.firstTokenMs);
    speed.betweenTokensMs = mergeSample(
      speed.betweenTokensMs,
      sample.betweenTokensMs,
    );
  }

  /** The expected time in a slot of a request with `tokens` still to come. */
  computeGuess(
    requestClass: RequestClass,
    options: { tokens: number; hasTokens: boolean; now: number },
  ): ServiceGuess {
    const speed = this.#speeds.get(requestClass.name);
    if (speed === undefined || speed.samples < MIN_SAMPLES) {
      return computeColdGuess(requestClass, options);
    }
    const totalMs = options.hasTokens
      ? speed.firstTokenMs + options.tokens * speed.betweenTokensMs
      : speed.heldMs;
    const learnt = options.now - speed.sampledAt <= MAX_SAMPLE_AGE_MS;
    return { firstTokenMs: speed.firstTokenMs, totalMs, learnt };
  }
}

function mergeSample(mean: number, sample: number | undefined): number {
  return sample === undefined ? mean : mean + SAMPLE_WEIGHT * (sample - mean);
}

/** Before anything is known: half of the class's own targets. */
function computeColdGuess(
  requestClass: RequestClass,
  options: { tokens: number; hasTokens: boolean },
): ServiceGuess {
  const { targets } = requestClass;
  const firstTokenMs = COLD_SHARE * targets.firstTokenMs;
  const totalMs = options.hasTokens
    ? firstTokenMs + COLD_SHARE * options.tokens * targets.betweenTokensMs
    : COLD_SHARE * targets.totalMs;
  return {
    firstTokenMs,
    totalMs: Math.min(totalMs, targets.totalMs),
    learnt: false,
  };
}
