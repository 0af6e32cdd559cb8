/**
 * This VM's local shares of all shards.
 *
 * @module
 */
import { type ShardId, toId, type VmId } from "../../ids.ts";
import type { UpstreamSignals } from "../../request/upstream_signals.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import type { SlotLease } from "../peer_api.ts";
import { INITIAL_LEASE_TTL_MS } from "./lease_manager.ts";
import { LocalUpstreamLimits } from "./local_upstream_limits.ts";
import { computeLocalShare, LocalShare } from "./local_share.ts";
import { listShardUpstreams } from "./shards.ts";

/** Options of `LocalSlots`. */
export interface LocalSlotsOptions {
  environment: Environment;
  membership: MembershipView;
}

/** Requirements for a slot of the local share. */
export interface LocalRequirements {
  shard: ShardId;
  pool: UpstreamPool;
  rank: number;
  avoid: readonly VmId[];
}

/**
 * Grants slots of this VM's local shares while shard owners are unreachable.
 */
export class LocalSlots {
  readonly #options: LocalSlotsOptions;
  readonly #shares = new Map<ShardId, LocalShare>();
  readonly #limits: LocalUpstreamLimits;
  /** Number of leases granted so far. */
  #granted = 0;

  constructor(options: LocalSlotsOptions) {
    this.#options = options;
    this.#limits = LocalUpstreamLimits.create(options.environment.clock);
  }

  static create(options: LocalSlotsOptions): LocalSlots {
    return new LocalSlots(options);
  }

  /** Adds a request that waits in `shard`, even if its owner is reachable. */
  addWaiting(shard: ShardId, rank: number): void {
    this.#getShare(shard).addWaiting(rank);
  }

  removeWaiting(shard: ShardId, rank: number): void {
    const share = this.#getShare(shard);
    share.removeWaiting(rank);
    if (share.isIdle) this.#shares.delete(shard);
  }

  /** Whether this VM's share of the shard is at least one slot. */
  hasShare(requirements: LocalRequirements): boolean {
    return this.#computeShare(requirements) > 0;
  }

  /** Takes a slot of the local share; undefined if none is free. */
  take(needs: LocalRequirements): SlotLease | undefined {
    const rateShare = 1 / this.#options.membership.listEntryVms().length;
    const upstreams = this.#listUpstreams(needs)
      .map((upstream) => upstream.id)
      .filter((upstream) => !needs.avoid.includes(upstream))
      .filter((upstream) => this.#limits.canSend(upstream, rateShare));
    const upstream = this.#getShare(needs.shard).take(
      needs.rank,
      {
        share: this.#computeShare(needs),
        upstreams,
      },
    );
    if (upstream === undefined) return undefined;
    this.#limits.addSent(upstream);
    const { vm, incarnation } = this.#options.environment;
    const id = `${needs.shard}:${vm}:${incarnation}:local-${this.#granted++}`;
    return {
      lease: toId(id),
      shard: needs.shard,
      upstream,
      ttlMs: INITIAL_LEASE_TTL_MS,
      priority: needs.rank,
      byOwner: false,
    };
  }

  /** Applies the rate limit and back-off of an upstream's response. */
  noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    this.#limits.noteSignals(upstream, signals);
  }

  /** Removes upstreams that are no longer listed. */
  dropUnlisted(): void {
    const { membership } = this.#options;
    this.#limits.dropUnlisted((upstream) =>
      membership.findVm(upstream) !== undefined
    );
  }

  /** Releases a slot of the local share. */
  release(slot: { shard: ShardId; upstream: VmId }): void {
    const share = this.#getShare(slot.shard);
    share.release(slot.upstream);
    if (share.isIdle) this.#shares.delete(slot.shard);
  }

  #computeShare(requirements: LocalRequirements): number {
    return computeLocalShare({
      vm: this.#options.environment.vm,
      shard: requirements.shard,
      pool: requirements.pool,
      upstreams: this.#listUpstreams(requirements),
      entryVms: this.#options.membership.listEntryVms(),
    });
  }

  #listUpstreams(requirements: LocalRequirements): ListedVm[] {
    const vms = this.#options.membership.listUpstreams(requirements.pool.name);
    return listShardUpstreams(requirements.shard, {
      pool: requirements.pool,
      vms,
    });
  }

  #getShare(shard: ShardId): LocalShare {
    let share = this.#shares.get(shard);
    if (share === undefined) {
      share = LocalShare.create();
      this.#shares.set(shard, share);
    }
    return share;
  }
}
