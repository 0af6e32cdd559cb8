/**
 * The lease syncs of all shards in which this VM holds or requests slots.
 *
 * @module
 */
import type { ShardId, VmId } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { PeerApi } from "../peer_api.ts";
import { LeaseSync, SYNC_INTERVAL_MS } from "./lease_sync.ts";
import { buildShardKey, listNonEmptyShards } from "./shards.ts";

/** Time after which the sync of an unused shard is removed. */
const IDLE_SHARD_TTL_MS = 60_000;

/** Options of `LeaseSyncs`. */
export interface LeaseSyncsOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** The API of this VM itself, used for shards that it owns. */
  getLocal: () => PeerApi;
}

/** Keeps one sync per shard and reports this VM's leases to new owners. */
export class LeaseSyncs {
  readonly #options: LeaseSyncsOptions;
  readonly #syncs = new Map<ShardId, LeaseSync>();
  /** Last known owner of each shard. */
  readonly #owners = new Map<ShardId, VmId>();

  constructor(options: LeaseSyncsOptions) {
    this.#options = options;
  }

  static create(options: LeaseSyncsOptions): LeaseSyncs {
    return new LeaseSyncs(options);
  }

  /** Returns the sync of `shard`, created on first use. */
  get(shard: ShardId): LeaseSync {
    let sync = this.#syncs.get(shard);
    if (sync === undefined) {
      const { environment, membership, getLocal } = this.#options;
      sync = LeaseSync.create({ environment, membership, getLocal, shard });
      this.#syncs.set(shard, sync);
    }
    return sync;
  }

  /**
   * Reports this VM's leases to the new owner of each shard. The report is sent
   * even without leases, because a new owner does not grant before every VM has
   * reported or the grace period has ended.
   */
  announceToNewOwners(): void {
    const { membership, getSnapshot } = this.#options;
    for (const pool of getSnapshot()?.pools.values() ?? []) {
      const vms = membership.listUpstreams(pool.name);
      for (const shard of listNonEmptyShards(pool, vms)) {
        const owner = membership.findOwner(buildShardKey(shard));
        const previous = this.#owners.get(shard);
        if (owner === undefined || owner === previous) continue;
        this.#owners.set(shard, owner);
        if (previous !== undefined) this.get(shard).announce();
      }
    }
  }

  /** Runs all syncs periodically until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.environment;
    while (!signal.aborted) {
      if (this.#owners.size === 0) this.announceToNewOwners();
      for (const sync of this.#syncs.values()) void sync.run();
      await clock.sleep(SYNC_INTERVAL_MS, signal);
      this.#dropIdle();
    }
  }

  #dropIdle(): void {
    const oldest = this.#options.environment.clock.now() - IDLE_SHARD_TTL_MS;
    for (const [shard, sync] of this.#syncs) {
      if (sync.isIdle && sync.usedAt < oldest) this.#syncs.delete(shard);
    }
  }
}
