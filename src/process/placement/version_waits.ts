/**
 * Versions of replicas' software for which streams wait.
 *
 * @module
 */
import type { PoolName, SoftwareVersion } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { hasVersion, type ListedReplica } from "./replica_list.ts";

/** A wait counts for this long after it was last seen. */
const WAIT_MS = 200;

/**
 * Keeps new streams away from replicas that streams which go on wait for: these
 * have no others to go to.
 */
export class VersionWaits {
  readonly #clock: Clock;
  readonly #waitedUntil = new Map<
    PoolName,
    { version: SoftwareVersion; until: number }
  >();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): VersionWaits {
    return new VersionWaits(clock);
  }

  /** Records that a stream waits for a replica of `version` now. */
  noteWait(pool: PoolName, version: SoftwareVersion): void {
    const until = this.#clock.now() + WAIT_MS;
    this.#waitedUntil.set(pool, { version, until });
  }

  /** The replicas for a request of any version; all if there are no others. */
  listFree(
    pool: PoolName,
    replicas: readonly ListedReplica[],
  ): readonly ListedReplica[] {
    const waited = this.#waitedUntil.get(pool);
    if (waited === undefined) return replicas;
    if (this.#clock.now() > waited.until) {
      this.#waitedUntil.delete(pool);
      return replicas;
    }
    const others = replicas.filter((each) => !hasVersion(each, waited.version));
    return others.length > 0 ? others : replicas;
  }
}
