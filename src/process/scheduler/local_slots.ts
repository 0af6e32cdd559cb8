/**
 * Slots of this VM's own shares, shard by shard.
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

/** What the local slots are worked out from. */
export interface LocalSlotsOptions {
  environment: Environment;
  membership: MembershipView;
}

/** A request for a local slot. */
export interface LocalRequirements {
  shard: ShardId;
  pool: UpstreamPool;
  rank: number;
  avoid: readonly VmId[];
}

/** Gives out this VM's share of shards whose owners do not answer. */
export class LocalSlots {
  readonly #options: LocalSlotsOptions;
  readonly #shares = new Map<ShardId, LocalShare>();
  readonly #room: LocalUpstreamLimits;
  #leases = 0;

  constructor(options: LocalSlotsOptions) {
    this.#options = options;
    this.#room = LocalUpstreamLimits.create(options.environment.clock);
  }

  static create(options: LocalSlotsOptions): LocalSlots {
    return new LocalSlots(options);
  }

  /** Notes a request that waits in `shard`, whether its owner answers or not. */
  addWaiting(shard: ShardId, rank: number): void {
    this.#getShare(shard).addWaiting(rank);
  }

  removeWaiting(shard: ShardId, rank: number): void {
    const share = this.#getShare(shard);
    share.removeWaiting(rank);
    if (share.isIdle) this.#shares.delete(shard);
  }

  /** Whether this VM has any share of the shard. */
  hasShare(wish: LocalRequirements): boolean {
    return this.#computeShare(wish) > 0;
  }

  /** A slot of the share; undefined where none is free. */
  take(wish: LocalRequirements): SlotLease | undefined {
    const rateShare = 1 / this.#options.membership.listEntryVms().length;
    const upstreams = this.#listUpstreams(wish)
      .map((upstream) => upstream.id)
      .filter((upstream) => !wish.avoid.includes(upstream))
      .filter((upstream) => this.#room.canSend(upstream, rateShare));
    const upstream = this.#getShare(wish.shard).take(wish.rank, {
      share: this.#computeShare(wish),
      upstreams,
    });
    if (upstream === undefined) return undefined;
    this.#room.addSent(upstream);
    const { vm, incarnation } = this.#options.environment;
    const name = `${wish.shard}:${vm}:${incarnation}:local-${this.#leases++}`;
    return {
      lease: toId(name),
      shard: wish.shard,
      upstream,
      ttlMs: INITIAL_LEASE_TTL_MS,
      priority: wish.rank,
      byOwner: false,
    };
  }

  /** Takes in what an answer of an upstream to this VM asks. */
  noteSignals(upstream: VmId, signals: UpstreamSignals): void {
    this.#room.noteSignals(upstream, signals);
  }

  /** Forgets upstreams that are not listed any more. */
  dropUnlisted(): void {
    const { membership } = this.#options;
    this.#room.dropUnlisted((upstream) =>
      membership.findVm(upstream) !== undefined
    );
  }

  /** Gives a local slot back. */
  release(slot: { shard: ShardId; upstream: VmId }): void {
    const share = this.#getShare(slot.shard);
    share.release(slot.upstream);
    if (share.isIdle) this.#shares.delete(slot.shard);
  }

  #computeShare(wish: LocalRequirements): number {
    return computeLocalShare({
      vm: this.#options.environment.vm,
      shard: wish.shard,
      pool: wish.pool,
      upstreams: this.#listUpstreams(wish),
      entryVms: this.#options.membership.listEntryVms(),
    });
  }

  #listUpstreams(wish: LocalRequirements): ListedVm[] {
    const vms = this.#options.membership.listUpstreams(wish.pool.name);
    return listShardUpstreams(wish.shard, { pool: wish.pool, vms });
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
