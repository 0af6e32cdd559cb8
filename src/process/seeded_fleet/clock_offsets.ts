/**
 * Translates times by the clocks of other processes into times by this one's.
 *
 * A message tells when it was sent, by its sender's clock. How long it took is
 * unknown, so the offset comes from the fastest message: a translated time is
 * too late by the delay of that one, however slow the others are and whoever
 * passed the time on.
 *
 * @module
 */
import type { Incarnation } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/**
 * An estimate may grow by this share of the time since the last message: clocks
 * run at slightly different rates, and one that stood still while its VM was
 * suspended is behind for good.
 */
const MAX_CLOCK_DRIFT = 0.01;
/** Processes that were not heard for so long are forgotten. */
const FORGET_AFTER_MS = 120_000;

interface ClockOffset {
  ms: number;
  /** `Clock.now()` of the last message. */
  notedAt: number;
}

/** Offsets between this process's clock and those of others. */
export class ClockOffsets {
  readonly #clock: Clock;
  readonly #offsets = new Map<Incarnation, ClockOffset>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ClockOffsets {
    return new ClockOffsets(clock);
  }

  /** Records a message that `process` sent at `sentAt` by its own clock. */
  noteMessage(process: Incarnation, sentAt: number): void {
    if (!this.#offsets.has(process)) this.#dropOld();
    this.#noteTime(process, sentAt);
  }

  /**
   * `Clock.now()` at a past time `at` of the other process, of which any VM may
   * have told; undefined if no message of that process was received.
   */
  computeLocalTime(process: Incarnation, at: number): number | undefined {
    if (!this.#offsets.has(process)) return undefined;
    return at + this.#noteTime(process, at);
  }

  /** Records that the other clock has reached `at`; returns the offset. */
  #noteTime(process: Incarnation, at: number): number {
    const now = this.#clock.now();
    const known = this.#offsets.get(process) ?? { ms: Infinity, notedAt: now };
    const maxMs = known.ms + MAX_CLOCK_DRIFT * (now - known.notedAt);
    const ms = Math.min(maxMs, now - at);
    this.#offsets.set(process, { ms, notedAt: now });
    return ms;
  }

  #dropOld(): void {
    const now = this.#clock.now();
    for (const [process, { notedAt }] of this.#offsets) {
      if (now - notedAt > FORGET_AFTER_MS) this.#offsets.delete(process);
    }
  }
}
