/**
 * Connections that test this VM's paths to replicas.
 *
 * @module
 */
import type { PoolName, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import type { ReplicaLinks } from "./replica_links.ts";
import type { ListedReplica } from "./replica_list.ts";

/** How long the result of a check is reused. */
const CHECK_TTL_MS = 50;
/** Replicas that are checked at once for one answer. */
const MAX_CHECKED = 3;
const FIRST_RECHECK_MS = 250;
const MAX_RECHECK_MS = 1_000;

/** Options of `LinkChecks`. */
export interface LinkChecksOptions {
  clock: Clock;
  random: Random;
  links: ReplicaLinks;
  /** Replicas of a pool that take new work. */
  listReady: (pool: PoolName) => readonly ListedReplica[];
  /** Pools that have replicas. */
  listPools: () => PoolName[];
  /** Whether a new connection to a replica is established; never rejects. */
  isListening: (replica: VmId) => Promise<boolean>;
}

/** Checks paths once, and those that failed until they work again. */
export class LinkChecks {
  readonly #options: LinkChecksOptions;
  readonly #checks = new Map<VmId, Promise<boolean>>();
  /** Pools whose unreachable replicas are being checked again. */
  readonly #rechecked = new Set<PoolName>();
  readonly #ended = new AbortController();

  constructor(options: LinkChecksOptions) {
    this.#options = options;
  }

  static create(options: LinkChecksOptions): LinkChecks {
    return new LinkChecks(options);
  }

  /** Whether this VM reaches the replica now. */
  check(replica: VmId): Promise<boolean> {
    const { clock, isListening } = this.#options;
    const known = this.#checks.get(replica);
    if (known !== undefined) return known;
    const check = isListening(replica);
    this.#checks.set(replica, check);
    clock.startTimer(CHECK_TTL_MS, () => this.#checks.delete(replica));
    return check;
  }

  /**
   * Whether this VM reaches any of a few other replicas of the pool. If it does
   * not, a replica that it does not reach may be up.
   */
  async checkOthers({ id, pool }: ListedReplica): Promise<boolean> {
    const others = this.#options.listReady(pool)
      .filter((other) => other.id !== id);
    return await this.#checkSome(others);
  }

  /**
   * Checks other replicas of the pool at once, then the unreachable ones again
   * and again until there is none.
   */
  async startRechecks(replica: ListedReplica): Promise<void> {
    const { pool } = replica;
    if (this.#rechecked.has(pool)) return;
    this.#rechecked.add(pool);
    const { clock, links } = this.#options;
    const { signal } = this.#ended;
    await this.checkOthers(replica);
    if (links.isLost(pool)) this.#checkOtherPools(pool);
    let delayMs = FIRST_RECHECK_MS;
    while (!signal.aborted && this.#listUnreachable(pool).length > 0) {
      await clock.sleep(delayMs, signal);
      if (signal.aborted) return;
      await this.#checkSome(this.#listUnreachable(pool));
      // A lost pool is tried at its usual rate until it is there again.
      delayMs = links.isLost(pool)
        ? FIRST_RECHECK_MS
        : Math.min(MAX_RECHECK_MS, 2 * delayMs);
    }
    this.#rechecked.delete(pool);
  }

  /** Ends all checks. */
  stop(): void {
    this.#ended.abort();
  }

  /** A VM that lost one pool may have lost others that it rarely uses. */
  #checkOtherPools(pool: PoolName): void {
    const { listPools, listReady } = this.#options;
    for (const other of listPools()) {
      if (other !== pool) void this.#checkSome(listReady(other));
    }
  }

  #listUnreachable(pool: PoolName): ListedReplica[] {
    const { links, listReady } = this.#options;
    return listReady(pool).filter(({ id }) => links.isUnreachable(id));
  }

  async #checkSome(replicas: readonly ListedReplica[]): Promise<boolean> {
    const some = this.#options.random.pickSample(replicas, MAX_CHECKED);
    const results = await Promise.all(some.map(({ id }) => this.check(id)));
    return results.includes(true);
  }
}
