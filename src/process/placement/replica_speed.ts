/**
 * How fast each replica reads prompts, learnt from first outputs.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Until anything is measured: 35 prompt tokens in a millisecond. */
const DEFAULT_MS_PER_TOKEN = 1 / 35;
/** From the send to the first output beside the prefill of prompts, in ms. */
const FIXED_MS = 15;
/** Samples with fewer tokens ahead tell more of the network than of prefill. */
const LEAST_SAMPLE_TOKENS = 800;
/** How much one sample changes the estimate. */
const SAMPLE_WEIGHT = 0.25;
/** One sample counts as no more than so many times the pool's figure. */
const MOST_RATIO = 8;
const LEAST_RATIO = 0.25;
/** A slow replica counts half as slow after so long without samples. */
const HALF_LIFE_MS = 4_000;

/** One replica's prefill speed as a VM measured it. */
export type SpeedEntry = [replica: VmId, msPerToken: number];

interface Speed {
  /** Against the pool's figure: 1 is as fast, 2 is half as fast. */
  ratio: number;
  notedAt: number;
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

  /** Takes in a first output after `ms`, with `tokens` to be read before it. */
  noteFirstOutput(replica: VmId, tokens: number, ms: number): void {
    if (tokens < LEAST_SAMPLE_TOKENS) return;
    const msPerToken = Math.max(0, ms - FIXED_MS) / tokens;
    this.#unsent.push([replica, Number(msPerToken.toFixed(5))]);
    this.#add(replica, msPerToken);
  }

  /** Takes in what another VM measured. */
  notePeerSpeeds(entries: readonly SpeedEntry[]): void {
    for (const [replica, msPerToken] of entries) this.#add(replica, msPerToken);
  }

  /** Samples that the other VMs have not been told of yet. */
  takeUnsent(): SpeedEntry[] {
    const entries = this.#unsent;
    this.#unsent = [];
    return entries;
  }

  /** Milliseconds for one prompt token. */
  getMsPerToken(replica: VmId): number {
    return this.#typicalMsPerToken * this.getSlowdown(replica);
  }

  /** How slow the replica is against the others; 1 is like them. */
  getSlowdown(replica: VmId): number {
    const speed = this.#speeds.get(replica);
    if (speed === undefined) return 1;
    const age = this.#clock.now() - speed.notedAt;
    return 1 + (speed.ratio - 1) * 0.5 ** (age / HALF_LIFE_MS);
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#speeds.keys()) {
      if (!isListed(replica)) this.#speeds.delete(replica);
    }
  }

  #add(replica: VmId, msPerToken: number): void {
    const sample = Math.min(
      MOST_RATIO,
      Math.max(LEAST_RATIO, msPerToken / this.#typicalMsPerToken),
    );
    const ratio = this.getSlowdown(replica);
    this.#speeds.set(replica, {
      ratio: ratio + SAMPLE_WEIGHT * (sample - ratio),
      notedAt: this.#clock.now(),
    });
    this.#updateTypical(sample);
  }

  /** The typical figure follows the middle of the samples in small steps. */
  #updateTypical(sample: number): void {
    const step = sample > 1 ? 1.01 : 1 / 1.01;
    this.#typicalMsPerToken *= step;
  }
}
