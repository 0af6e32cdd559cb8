/**
 * The syncs of all shards whose slots this VM holds or wants.
 *
 * @module
 */
import type { ShardId, VmId } from "../../ids.ts";
import type { Snapshot } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { PeerApi } from "../peer_api.ts";
import { LeaseSync, SYNC_EVERY_MS } from "./lease_sync.ts";
import { buildShardKey, listNonEmptyShards } from "./shards.ts";

/** A shard without leases is forgotten after this. */
const IDLE_SHARD_MS = 60_000;

/** What the syncs need. */
export interface LeaseSyncsOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** This VM's own answers, for shards that it owns itself. */
  getLocal: () => PeerApi;
}

/** Keeps one sync a shard, and tells new owners of this VM's leases. */
export class LeaseSyncs {
  readonly #options: LeaseSyncsOptions;
  readonly #syncs = new Map<ShardId, LeaseSync>();
  /** The owner of each shard, as this VM last saw it. */
  readonly #owners = new Map<ShardId, VmId>();

  constructor(options: LeaseSyncsOptions) {
    this.#options = options;
  }

  static create(options: LeaseSyncsOptions): LeaseSyncs {
    return new LeaseSyncs(options);
  }

  /** The sync of `shard`, made when there is none yet. */
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
   * Tells the new owner of each shard of this VM's leases, also that it has
   * none: the owner waits for every VM's word before it grants.
   */
  announceToNewOwners(): void {
    const { membership, getSnapshot } = this.#options;
    for (const pool of getSnapshot()?.pools.values() ?? []) {
      const vms = membership.listUpstreams(pool.name);
      for (const shard of listNonEmptyShards(pool, vms)) {
        const owner = membership.findOwner(buildShardKey(shard));
        const before = this.#owners.get(shard);
        if (owner === undefined || owner === before) continue;
        this.#owners.set(shard, owner);
        if (before !== undefined) this.get(shard).announce();
      }
    }
  }

  /** Runs every sync in turn until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.environment;
    while (!signal.aborted) {
      if (this.#owners.size === 0) this.announceToNewOwners();
      for (const sync of this.#syncs.values()) void sync.run();
      await clock.sleep(SYNC_EVERY_MS, signal);
      this.#dropIdle();
    }
  }

  #dropIdle(): void {
    const oldest = this.#options.environment.clock.now() - IDLE_SHARD_MS;
    for (const [shard, sync] of this.#syncs) {
      if (sync.isIdle && sync.usedAt < oldest) this.#syncs.delete(shard);
    }
  }
}
