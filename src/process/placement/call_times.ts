/**
 * Estimates how long calls to plain services take at a replica, by request
 * class.
 *
 * @module
 */
import type { ClassName } from "../../ids.ts";

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Moving averages of the calls that this VM sent, in milliseconds. */
export class CallTimes {
  readonly #meanMs = new Map<ClassName, number>();

  static create(): CallTimes {
    return new CallTimes();
  }

  /** Adds the time from the send of a call to its complete answer. */
  add(className: ClassName, ms: number): void {
    const mean = this.#meanMs.get(className) ?? ms;
    this.#meanMs.set(className, mean + SAMPLE_WEIGHT * (ms - mean));
  }

  /** Expected time of a call; 0 before any call of the class. */
  computeExpectedMs(className: ClassName): number {
    return this.#meanMs.get(className) ?? 0;
  }
}
