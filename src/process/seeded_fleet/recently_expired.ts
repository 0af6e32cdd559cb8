/**
 * Retains replicas whose entries expired while the store was unavailable.
 *
 * While the store is unavailable, entries of healthy replicas expire because
 * they cannot be renewed. Applied as it is, the first list afterwards would
 * leave a pool without replicas, and every request would be refused although
 * all of them serve.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import { getEra, type ListPosition } from "../placement/list_position.ts";
import type { ListedReplica, ReplicaList } from "../placement/replica_list.ts";

/**
 * Entries expire after three missed renewals, so none does in an outage that is
 * shorter than this many intervals.
 */
const MIN_OUTAGE_RENEWALS = 2;
/**
 * A VM whose list gets old calls the store after 1.7 s, and fails for at least so
 * many intervals of renewal in an outage in which many entries expire. A silent
 * connection and a retry take less.
 */
const MIN_FAILING_RENEWALS = 1;
/**
 * Healthy replicas renew their entries within this time after the store is
 * available again.
 */
const RENEWAL_WAIT_MS = 2_200;
/**
 * A list with retained replicas gets a revision just below the store's, so that
 * the store's own list counts as newer once the time is over.
 */
const REVISION_OFFSET = 0.5;

/** Options of `RecentlyExpired`. */
export interface RecentlyExpiredOptions {
  clock: Clock;
  log: Log;
  /** Interval at which replicas renew their entries. */
  entryRenewalMs: number;
}

/** What a VM saw of the time before the store answered it again. */
export interface StoreOutage {
  /** Since the store last answered this VM or another that it heard from. */
  unansweredMs: number;
  /** Since the first of this VM's calls that failed. */
  failingMs: number;
}

/** A replica that is missing in the store's list. */
interface MissingReplica {
  replica: ListedReplica;
  /** `Clock.now()` until which it is retained; later outages don't extend it. */
  until: number;
  /** Whether it is known to have left, and not retained any more. */
  hasLeft?: boolean;
}

/** Retains expired replicas for a short time after an outage of the store. */
export class RecentlyExpired {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #entryRenewalMs: number;
  readonly #missing = new Map<VmId, MissingReplica>();
  #retainUntil = -Infinity;
  #restoredUntil = -Infinity;

  constructor({ clock, log, entryRenewalMs }: RecentlyExpiredOptions) {
    this.#clock = clock;
    this.#log = log;
    this.#entryRenewalMs = entryRenewalMs;
  }

  static create(options: RecentlyExpiredOptions): RecentlyExpired {
    return new RecentlyExpired(options);
  }

  /** Whether any replica is retained that is missing in the store's list. */
  get isRetaining(): boolean {
    return this.#listRetained().length > 0;
  }

  /**
   * Records that the store answers again. A VM that hears from no other and
   * whose call fails once has not seen an outage, however old its list is.
   */
  noteStoreRegained({ unansweredMs, failingMs }: StoreOutage): void {
    if (unansweredMs < MIN_OUTAGE_RENEWALS * this.#entryRenewalMs) return;
    if (failingMs < MIN_FAILING_RENEWALS * this.#entryRenewalMs) return;
    this.#retainUntil = this.#clock.now() + RENEWAL_WAIT_MS;
  }

  /**
   * Records the first list of a store that was restored from an older copy. It
   * lacks replicas that have been listed since; they write their entries again.
   */
  noteRestored(list: ReplicaList, before: ReplicaList): void {
    this.#restoredUntil = this.#clock.now() + RENEWAL_WAIT_MS;
    this.#addAllMissing(list, before, this.#restoredUntil);
  }

  /** Whether lists of other VMs may lack what this one retains of a restoration. */
  get isRestoring(): boolean {
    return this.#clock.now() < this.#restoredUntil && this.isRetaining;
  }

  /**
   * Whether a newer list of another VM only lacks the replicas that this one
   * retains.
   */
  isHeldBack(list: ListPosition, own: ReplicaList): boolean {
    return this.isRetaining && getEra(list) === getEra(own) &&
      list.revision <= own.revision + REVISION_OFFSET &&
      own.replicas.some(({ isRetained }) => isRetained);
  }

  /**
   * Retains no longer what another VM told to have left meanwhile: it knows by a
   * later change.
   */
  dropLeft(hasLeft: (replica: VmId) => boolean): void {
    for (const [id, { replica, until }] of this.#missing) {
      if (replica.state !== "ready" || !hasLeft(id)) continue;
      this.#missing.set(id, { replica, until, hasLeft: true });
    }
  }

  /** The list to use, given the store's list and the previous one. */
  apply(list: ReplicaList, before: ReplicaList): ReplicaList {
    this.#updateMissing(list, before);
    const retained = this.#listRetained();
    if (retained.length === 0) return list;
    return {
      ...list,
      revision: list.revision - REVISION_OFFSET,
      replicas: [...list.replicas, ...retained],
    };
  }

  #updateMissing(list: ReplicaList, before: ReplicaList): void {
    const listed = new Set(list.replicas.map(({ id }) => id));
    const known = new Set(before.replicas.map(({ id }) => id));
    for (const id of this.#missing.keys()) {
      if (listed.has(id) || !known.has(id)) this.#missing.delete(id);
    }
    if (this.#clock.now() >= this.#retainUntil) return;
    this.#addAllMissing(list, before, this.#retainUntil);
  }

  /** Retains replicas of the list before that `list` lacks. */
  #addAllMissing(list: ReplicaList, before: ReplicaList, until: number): void {
    const listed = new Set(list.replicas.map(({ id }) => id));
    for (const replica of before.replicas) {
      if (listed.has(replica.id)) continue;
      this.#addMissing(replica, list.revision, until);
    }
  }

  #addMissing(replica: ListedReplica, revision: number, until: number): void {
    const { id } = replica;
    if (this.#missing.has(id)) return;
    this.#missing.set(id, { replica: { ...replica, isRetained: true }, until });
    const forMs = Math.round(until - this.#clock.now());
    this.#log.info("replica_retained", {
      replica: id,
      revision,
      for_ms: forMs,
    });
  }

  #listRetained(): ListedReplica[] {
    const now = this.#clock.now();
    return [...this.#missing.values()]
      .filter(({ until, hasLeft }) => until > now && hasLeft !== true)
      .map(({ replica }) => replica);
  }
}

/** The store's list from which another VM made one with retained replicas. */
export function toPublishedList(list: ReplicaList): ReplicaList {
  const replicas = list.replicas.filter(({ isRetained }) => !isRetained);
  if (replicas.length === list.replicas.length) return list;
  return { ...list, revision: list.revision + REVISION_OFFSET, replicas };
}
