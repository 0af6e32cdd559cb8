/**
 * Paths of this VM to the replicas, as its own connections show them.
 *
 * A connection that cannot be established does not tell whether the replica is
 * down or this VM is cut off from it. All VMs together can tell: what one of
 * them fails to reach, others may reach at the same time.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * A pool counts as lost once connections to this many of its replicas failed in
 * a row, or to all if it has fewer.
 */
const MIN_LOST_REPLICAS = 3;

/** Options of `ReplicaLinks`. */
export interface ReplicaLinksOptions {
  clock: Clock;
  /** Replicas of a pool that take new work. */
  listReady: (pool: PoolName) => readonly ListedReplica[];
  /** Called when this VM loses all paths to a pool, or has one again. */
  onChange: (pool: PoolName, isLost: boolean) => void;
}

/** Results of this VM's connections, by replica. */
export class ReplicaLinks {
  readonly #options: ReplicaLinksOptions;
  /** When the last connection to each unreachable replica failed. */
  readonly #failedAt = new Map<VmId, number>();
  /** The same for replicas that were reached again. */
  readonly #lastFailedAt = new Map<VmId, number>();
  /** When the last connection to any replica of a pool was established. */
  readonly #openedAt = new Map<PoolName, number>();
  readonly #lost = new Set<PoolName>();

  constructor(options: ReplicaLinksOptions) {
    this.#options = options;
  }

  static create(options: ReplicaLinksOptions): ReplicaLinks {
    return new ReplicaLinks(options);
  }

  /** Records that a connection was established. */
  noteOpened({ id, pool }: ListedReplica): void {
    this.#failedAt.delete(id);
    this.#openedAt.set(pool, this.#options.clock.now());
    if (this.#lost.delete(pool)) this.#options.onChange(pool, false);
  }

  /** Records that a connection could not be established. */
  noteFailed({ id, pool }: ListedReplica): void {
    const now = this.#options.clock.now();
    this.#failedAt.set(id, now);
    this.#lastFailedAt.set(id, now);
    if (this.#lost.has(pool) || !this.#hasOnlyFailed(pool)) return;
    this.#lost.add(pool);
    this.#options.onChange(pool, true);
  }

  /** Whether a connection failed and none to the pool was established since. */
  isDoubtful(pool: PoolName): boolean {
    return this.#failedAt.size > 0 && this.#listFailed(pool).length > 0;
  }

  /** Whether this VM reaches no replica of the pool. */
  isLost(pool: PoolName): boolean {
    return this.#lost.has(pool);
  }

  /** Pools of which this VM reaches no replica. */
  listLost(): PoolName[] {
    return [...this.#lost];
  }

  /** Whether the last connection to the replica failed. */
  isUnreachable(replica: VmId): boolean {
    return this.#failedAt.has(replica);
  }

  /** Whether a connection to the replica failed at `at` or later. */
  hasFailedSince(replica: VmId, at: number): boolean {
    return (this.#lastFailedAt.get(replica) ?? -Infinity) >= at;
  }

  /** Number of replicas to which the last connection failed. */
  countUnreachable(): number {
    return this.#failedAt.size;
  }

  /** Forgets replicas that are no longer listed, and pools without any. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const byReplica of [this.#failedAt, this.#lastFailedAt]) {
      for (const replica of byReplica.keys()) {
        if (!isListed(replica)) byReplica.delete(replica);
      }
    }
    for (const pool of this.#lost) {
      if (this.#hasOnlyFailed(pool)) continue;
      this.#lost.delete(pool);
      this.#options.onChange(pool, false);
    }
  }

  /** Whether enough connections failed and none was established since. */
  #hasOnlyFailed(pool: PoolName): boolean {
    const count = this.#listFailed(pool).length;
    const { length } = this.#options.listReady(pool);
    return count > 0 && count >= Math.min(MIN_LOST_REPLICAS, length);
  }

  /** Replicas to which connections failed after the last established one. */
  #listFailed(pool: PoolName): ListedReplica[] {
    const openedAt = this.#openedAt.get(pool) ?? -Infinity;
    return this.#options.listReady(pool).filter(({ id }) =>
      (this.#failedAt.get(id) ?? -Infinity) > openedAt
    );
  }
}
