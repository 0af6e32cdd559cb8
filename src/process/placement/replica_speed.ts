/**
 * Prefill speed of each replica, estimated from first outputs.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Until anything is measured: 35 prompt tokens per millisecond. */
const DEFAULT_MS_PER_TOKEN = 1 / 35;
/** Time to first output beside the prefill of prompts. */
const FIXED_OVERHEAD_MS = 15;
/** Samples with fewer tokens to prefill measure mostly the network. */
const MIN_SAMPLE_TOKENS = 800;
/** Weight of one sample in the estimate. */
const SAMPLE_WEIGHT = 0.25;
/** A sample is clamped to these multiples of the typical figure. */
const MAX_SAMPLE_RATIO = 8;
const MIN_SAMPLE_RATIO = 0.25;
/** A slow replica counts as half as slow after this time without samples. */
const SLOWDOWN_HALF_LIFE_MS = 4_000;

/** Prefill speed of one replica as a VM measured it. */
export type SpeedEntry = [replica: VmId, msPerToken: number];

interface Speed {
  /** Relative to the typical figure: 1 is as fast, 2 is half as fast. */
  ratio: number;
  updatedAt: number;
}

/** Prefill speeds by replica. */
export class ReplicaSpeeds {
  readonly #clock: Clock;
  readonly #speeds = new Map<VmId, Speed>();
  #unsent: SpeedEntry[] = [];
  #typicalMsPerToken = DEFAULT_MS_PER_TOKEN;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ReplicaSpeeds {
    return new ReplicaSpeeds(clock);
  }

  /**
   * Records a first output after `ms` milliseconds, with `tokens` to be
   * prefilled before it.
   */
  noteFirstOutput(replica: VmId, tokens: number, ms: number): void {
    if (tokens < MIN_SAMPLE_TOKENS) return;
    const msPerToken = Math.max(0, ms - FIXED_OVERHEAD_MS) / tokens;
    this.#unsent.push([replica, Number(msPerToken.toFixed(5))]);
    this.#add(replica, msPerToken);
  }

  /** Records speeds that another VM measured. */
  notePeerSpeeds(entries: readonly SpeedEntry[]): void {
    for (const [replica, msPerToken] of entries) this.#add(replica, msPerToken);
  }

  /** Takes the samples that were not sent to the other VMs yet. */
  takeUnsent(): SpeedEntry[] {
    const entries = this.#unsent;
    this.#unsent = [];
    return entries;
  }

  /** Milliseconds per prompt token of a replica of usual speed. */
  get typicalMsPerToken(): number {
    return this.#typicalMsPerToken;
  }

  /** Milliseconds per prompt token. */
  getMsPerToken(replica: VmId): number {
    return this.#typicalMsPerToken * this.getSlowdown(replica);
  }

  /** How slow the replica is compared with the others; 1 is as fast. */
  getSlowdown(replica: VmId): number {
    const speed = this.#speeds.get(replica);
    if (speed === undefined) return 1;
    const age = this.#clock.now() - speed.updatedAt;
    return 1 + (speed.ratio - 1) * 0.5 ** (age / SLOWDOWN_HALF_LIFE_MS);
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#speeds.keys()) {
      if (!isListed(replica)) this.#speeds.delete(replica);
    }
  }

  #add(replica: VmId, msPerToken: number): void {
    const sample = Math.min(
      MAX_SAMPLE_RATIO,
      Math.max(MIN_SAMPLE_RATIO, msPerToken / this.#typicalMsPerToken),
    );
    const ratio = this.getSlowdown(replica);
    this.#speeds.set(replica, {
      ratio: ratio + SAMPLE_WEIGHT * (sample - ratio),
      updatedAt: this.#clock.now(),
    });
    this.#updateTypical(sample);
  }

  /**
   * Moves the typical figure towards the median of the samples in small steps.
   */
  #updateTypical(sample: number): void {
    const step = sample > 1 ? 1.01 : 1 / 1.01;
    this.#typicalMsPerToken *= step;
  }
}
