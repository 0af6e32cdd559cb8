/**
 * Tells for how long this VM has known of newer state without having it.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import { isNewer, type ListPosition } from "../placement/list_position.ts";

/** A lag this long is logged; a call to another VM takes a few milliseconds. */
const LOGGED_LAG_MS = 500;
/** Versions that a VM lacks; only the oldest ones are kept of a long row. */
const MAX_MISSING = 100;

/** A version that this VM has heard of. */
interface MissingVersion {
  version: ListPosition;
  /** `Clock.now()` when this VM first heard of it, or of a newer one. */
  since: number;
}

/**
 * Time since this VM first heard of the oldest version that is newer than its
 * own. A version that comes while others are still missing does not end it.
 */
export class StateLag {
  readonly #clock: Clock;
  readonly #log: Log;
  /** Ordered by version and by time. */
  #missing: MissingVersion[] = [];

  constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log;
  }

  static create(clock: Clock, log: Log): StateLag {
    return new StateLag(clock, log);
  }

  /** Milliseconds since this VM first heard of what it lacks; 0 for nothing. */
  getMs(): number {
    const oldest = this.#missing[0];
    return oldest === undefined ? 0 : this.#clock.now() - oldest.since;
  }

  /** Records that another VM has a version which this one lacks. */
  noteBehind(version: ListPosition): void {
    const newest = this.#missing.at(-1);
    const isKnown = newest !== undefined && !isNewer(version, newest.version);
    if (isKnown || this.#missing.length >= MAX_MISSING) return;
    this.#missing.push({ version, since: this.#clock.now() });
  }

  /**
   * Records that a version was applied, from where it came, and how old this VM
   * took its list to be until then: less than the lag if it was mistaken.
   */
  noteApplied(
    version: ListPosition,
    from: VmId | "store",
    listAgeMs: number,
  ): void {
    const lagMs = Math.round(this.getMs());
    this.#missing = this.#missing.filter((each) =>
      isNewer(each.version, version)
    );
    if (lagMs < LOGGED_LAG_MS) return;
    this.#log.info("state_applied_late", {
      revision: version.revision,
      era: version.era,
      from,
      lag_ms: lagMs,
      list_age_ms: listAgeMs,
    });
  }
}
