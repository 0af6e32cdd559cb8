/**
 * Versions of the software that each pool's replicas ran lately.
 *
 * @module
 */
import type { PoolName, SoftwareVersion } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { getSoftwareVersion, type ListedReplica } from "../placement/index.ts";

/**
 * A list that was not confirmed for so long may have missed replicas that came
 * and went.
 */
const MAX_GAP_MS = 3_000;

/** Options of `VersionHistory`. */
export interface VersionHistoryOptions {
  clock: Clock;
  /** Time since the list was last known to be the newest; -1 for never. */
  getListAgeMs: () => number;
}

/** Versions of one pool in a span of time. */
export type PoolVersions =
  | { kind: "only"; version: SoftwareVersion }
  | { kind: "several" }
  /** Lists may have been missed. */
  | { kind: "unknown" };

/** Which versions this VM has seen, from the lists that it had. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  #current = new Map<PoolName, Set<SoftwareVersion>>();
  /** When versions that are listed no more were last listed. */
  readonly #endedAt = new Map<PoolName, Map<SoftwareVersion, number>>();
  /** `Clock.now()` since which no list can have been missed. */
  #completeSince = Infinity;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Records a newer list; call before it is confirmed. */
  noteList(replicas: readonly ListedReplica[]): void {
    const now = this.#options.clock.now();
    const isFirst = this.#completeSince === Infinity;
    if (isFirst || !this.#isConfirmed()) this.#completeSince = now;
    const before = this.#current;
    this.#current = collectVersions(replicas);
    for (const [pool, versions] of before) {
      for (const version of versions) {
        if (!this.#current.get(pool)?.has(version)) {
          this.#noteEnded(pool, version, now);
        }
      }
    }
  }

  /** What this VM can tell of the versions of a pool in the last `forMs`. */
  getVersions(pool: PoolName, forMs: number): PoolVersions {
    const since = this.#options.clock.now() - forMs;
    const versions = new Set(this.#current.get(pool));
    for (const [version, endedAt] of this.#endedAt.get(pool) ?? []) {
      if (endedAt >= since) versions.add(version);
    }
    const [only] = versions;
    if (versions.size > 1) return { kind: "several" };
    const isComplete = this.#isConfirmed() && this.#completeSince <= since;
    return only === undefined || !isComplete
      ? { kind: "unknown" }
      : { kind: "only", version: only };
  }

  /** The only version that a pool's replicas run now, if there is but one. */
  findOnlyNow(pool: PoolName): SoftwareVersion | undefined {
    const versions = this.#current.get(pool);
    return versions?.size === 1 ? [...versions][0] : undefined;
  }

  #isConfirmed(): boolean {
    const ageMs = this.#options.getListAgeMs();
    return ageMs >= 0 && ageMs <= MAX_GAP_MS;
  }

  #noteEnded(pool: PoolName, version: SoftwareVersion, at: number): void {
    const ended = this.#endedAt.get(pool) ?? new Map();
    this.#endedAt.set(pool, ended.set(version, at));
  }
}

function collectVersions(
  replicas: readonly ListedReplica[],
): Map<PoolName, Set<SoftwareVersion>> {
  const versions = new Map<PoolName, Set<SoftwareVersion>>();
  for (const replica of replicas) {
    const known = versions.get(replica.pool) ?? new Set();
    versions.set(replica.pool, known.add(getSoftwareVersion(replica)));
  }
  return versions;
}
