/**
 * Versions of the software that each pool's replicas ran lately.
 *
 * A version may come and go while a VM hears nothing, so each newer list counts
 * with what is known of the lists between: the store tells each change, and VMs
 * pass on which versions they have seen.
 *
 * @module
 */
import type { PoolName, SoftwareVersion } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import {
  getSoftwareVersion,
  isNewer,
  type ListedReplica,
  type ListPosition,
  type ReplicaList,
} from "../placement/index.ts";
import type {
  FormerVersion,
  ListSource,
  VersionRecord,
} from "../seeded_fleet/index.ts";

/**
 * A list that was not confirmed for so long says nothing of what is listed now.
 */
const MAX_UNCONFIRMED_MS = 3_000;
/**
 * A replica is listed for longer than this before a stream that began there can
 * break and be taken up.
 */
const MAX_GAP_MS = 200;
/** Versions that left earlier are forgotten. */
const HISTORY_MS = 600_000;

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

/** Lists of which none was missed. */
interface CompleteSpan {
  /** `Clock.now()` at the first of them. */
  since: number;
  /** Its position. */
  sincePosition: ListPosition;
}

/** Which versions this VM has seen, from the lists that it had. */
export class VersionHistory {
  readonly #options: VersionHistoryOptions;
  #position: ListPosition = { revision: 0 };
  #current = new Map<PoolName, Set<SoftwareVersion>>();
  /** When versions that are listed no more were last listed. */
  readonly #endedAt = new Map<PoolName, Map<SoftwareVersion, number>>();
  /** Undefined before the first list. */
  #complete: CompleteSpan | undefined;

  constructor(options: VersionHistoryOptions) {
    this.#options = options;
  }

  static create(options: VersionHistoryOptions): VersionHistory {
    return new VersionHistory(options);
  }

  /** Records a newer list; call before it is confirmed. */
  noteList(list: ReplicaList, source: ListSource): void {
    const { era, revision, replicas } = list;
    const now = this.#options.clock.now();
    const position = { era, revision };
    this.#complete = this.#computeComplete(position, source, now);
    const before = this.#current;
    this.#position = position;
    this.#current = collectVersions(replicas);
    this.#noteFormer(before, now);
    if (source.kind === "changes") {
      this.#noteFormer(collectVersions(source.listed), now);
    }
    if (source.kind === "record") this.#addRecord(source.record, now);
    this.#dropOld(now);
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
    const isComplete = this.#isConfirmed() && this.#getCompleteSince() <= since;
    return only === undefined || !isComplete
      ? { kind: "unknown" }
      : { kind: "only", version: only };
  }

  /** The only version that a pool's replicas run now, if there is but one. */
  findOnlyNow(pool: PoolName): SoftwareVersion | undefined {
    const versions = this.#current.get(pool);
    return versions?.size === 1 ? [...versions][0] : undefined;
  }

  /** Position of the newest list. */
  get position(): ListPosition {
    return this.#position;
  }

  /** Whether no list after that of `position` was missed. */
  isCompleteSince(position: ListPosition): boolean {
    if (this.#complete === undefined) return false;
    return !isNewer(this.#complete.sincePosition, position);
  }

  /** What this VM has seen, for one that takes its list. */
  buildRecord(): VersionRecord | undefined {
    if (this.#complete === undefined) return undefined;
    const now = this.#options.clock.now();
    const former = [...this.#endedAt].flatMap(([pool, versions]) =>
      [...versions].map(([version, endedAt]): FormerVersion => [
        pool,
        version,
        Math.floor(now - endedAt),
      ])
    );
    return {
      sinceRevision: this.#complete.sincePosition.revision,
      sinceEra: this.#complete.sincePosition.era,
      forMs: Math.floor(now - this.#getCompleteSince()),
      former,
    };
  }

  /** The span up to a newer list. */
  #computeComplete(
    position: ListPosition,
    source: ListSource,
    now: number,
  ): CompleteSpan {
    const own = this.#complete;
    const told = source.kind === "record"
      ? {
        since: now - source.record.forMs,
        sincePosition: {
          era: source.record.sinceEra,
          revision: source.record.sinceRevision,
        },
      }
      : { since: now, sincePosition: position };
    if (own === undefined) return told;
    if (source.kind === "changes") return own;
    const reachesBack = !isNewer(told.sincePosition, this.#position);
    if (reachesBack) return told.since < own.since ? told : own;
    return this.#isConfirmed(MAX_GAP_MS) ? own : told;
  }

  #addRecord({ former }: VersionRecord, now: number): void {
    for (const [pool, version, agoMs] of former) {
      if (this.#current.get(pool)?.has(version)) continue;
      this.#noteEnded(pool, version, now - agoMs);
    }
  }

  /** Notes which of the listed versions are gone. */
  #noteFormer(
    listed: ReadonlyMap<PoolName, ReadonlySet<SoftwareVersion>>,
    at: number,
  ): void {
    for (const [pool, versions] of listed) {
      for (const version of versions) {
        if (this.#current.get(pool)?.has(version)) continue;
        this.#noteEnded(pool, version, at);
      }
    }
  }

  #noteEnded(pool: PoolName, version: SoftwareVersion, at: number): void {
    const ended = this.#endedAt.get(pool) ?? new Map();
    const known = ended.get(version) ?? -Infinity;
    this.#endedAt.set(pool, ended.set(version, Math.max(known, at)));
  }

  #dropOld(now: number): void {
    for (const [pool, versions] of this.#endedAt) {
      for (const [version, endedAt] of versions) {
        if (endedAt < now - HISTORY_MS) versions.delete(version);
      }
      if (versions.size === 0) this.#endedAt.delete(pool);
    }
  }

  /** `Clock.now()` since which all versions are known. */
  #getCompleteSince(): number {
    const { since = Infinity } = this.#complete ?? {};
    return Math.max(since, this.#options.clock.now() - HISTORY_MS);
  }

  #isConfirmed(withinMs = MAX_UNCONFIRMED_MS): boolean {
    const ageMs = this.#options.getListAgeMs();
    return ageMs >= 0 && ageMs <= withinMs;
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
