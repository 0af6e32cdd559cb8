/**
 * Tells for how long this VM has known of newer state without having it.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";

/** A lag this long is logged; a call to another VM takes a few milliseconds. */
const LOGGED_LAG_MS = 500;

/** Time since this VM first heard of state that is newer than its own. */
export class StateLag {
  readonly #clock: Clock;
  readonly #log: Log;
  /** `Clock.now()` when it first heard of newer state than it has. */
  #since: number | undefined;

  constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log;
  }

  static create(clock: Clock, log: Log): StateLag {
    return new StateLag(clock, log);
  }

  /** Milliseconds since this VM first heard of newer state; 0 if it has all. */
  getMs(): number {
    return this.#since === undefined ? 0 : this.#clock.now() - this.#since;
  }

  /** Records that another VM has newer state. */
  noteBehind(): void {
    this.#since ??= this.#clock.now();
  }

  /**
   * Records that newer state was applied, from where it came, and how old this
   * VM took its list to be until then: less than the lag if it was mistaken.
   */
  noteApplied(
    revision: number,
    from: VmId | "store",
    listAgeMs: number,
  ): void {
    const lagMs = Math.round(this.getMs());
    this.#since = undefined;
    if (lagMs < LOGGED_LAG_MS) return;
    this.#log.info("state_applied_late", {
      revision,
      from,
      lag_ms: lagMs,
      list_age_ms: listAgeMs,
    });
  }
}
