/**
 * Gives orders to the engines of the shards that this VM owns by the list.
 *
 * Two givers of one upstream could load different models by turns. A giver is
 * therefore named by the published revision alone, never by a VM's own belief,
 * and gives only while that revision was confirmed within `ORDER_LEASE_MS`.
 *
 * @module
 */
import type { LoadReport } from "../../connection/index.ts";
import { toError } from "../../errors.ts";
import type { PoolName, ShardId, VmId } from "../../ids.ts";
import type { Snapshot, UpstreamPool } from "../../version/index.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import { buildShardId, buildShardKey } from "../scheduler/index.ts";
import { type PlannedOrder, planOrders } from "./placement.ts";

/** How long a confirmed view lets a VM give orders, in milliseconds. */
export const ORDER_LEASE_MS = 10_000;
/** The longest that an order may be on its way, in milliseconds. */
export const ORDER_TRANSIT_MS = 5_000;
const GIVE_EVERY_MS = 2_000;
/** An order that shows no effect in the reports is given again after this. */
const REPEAT_AFTER_MS = 60_000;

/** What the giver needs from its process. */
export interface OrderGiverOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** Time since the list's revision was last confirmed as the newest. */
  getViewAgeMs: () => number;
  /** The upstreams of a shard, leaving ones left out. */
  listUpstreams: (pool: PoolName, shardIndex: number) => VmId[];
}

/** The giver of orders on one VM. */
export class OrderGiver {
  readonly #options: OrderGiverOptions;
  /** Since when this VM is the listed owner of each shard. */
  readonly #ownedSince = new Map<ShardId, number>();
  readonly #givenAt = new Map<string, number>();
  #tokens = 0;
  #refilledAt: number;

  constructor(options: OrderGiverOptions) {
    this.#options = options;
    this.#refilledAt = options.environment.clock.now();
  }

  static create(options: OrderGiverOptions): OrderGiver {
    return new OrderGiver(options);
  }

  /** Gives orders until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.environment;
    while (!signal.aborted) {
      await clock.sleep(GIVE_EVERY_MS, signal);
      if (signal.aborted) return;
      await this.runRound();
    }
  }

  /** One round over the shards that this VM owns by the list. */
  async runRound(): Promise<void> {
    const snapshot = this.#options.getSnapshot();
    if (snapshot === undefined) return;
    this.#addTokens(snapshot);
    this.#removeOldOrders();
    for (const pool of snapshot.pools.values()) {
      if (pool.type !== "model") continue;
      for (let index = 0; index < pool.shards; index++) {
        await this.#runShard(pool, index);
      }
    }
  }

  async #runShard(pool: UpstreamPool, index: number): Promise<void> {
    const shard = buildShardId(pool.name, index);
    if (!this.#canGive(shard, pool)) return;
    const upstreams = this.#options.listUpstreams(pool.name, index);
    const reports = await this.#fetchReports(upstreams);
    const planned = planOrders({
      pool,
      shardIndex: index,
      upstreams,
      reports,
    });
    for (const order of planned) await this.#sendOrder(shard, pool, order);
  }

  /**
   * Whether this VM is the giver now. Asked again before each send: a process
   * that was paused in between wakes with a view older than its lease.
   */
  #canGive(shard: ShardId, pool: UpstreamPool): boolean {
    const { environment, membership, getViewAgeMs } = this.#options;
    const owner = membership.findListedOwner(buildShardKey(shard));
    if (owner !== environment.vm) {
      this.#ownedSince.delete(shard);
      return false;
    }
    const now = environment.clock.now();
    const since = this.#ownedSince.get(shard) ?? now;
    this.#ownedSince.set(shard, since);
    if (getViewAgeMs() > ORDER_LEASE_MS) return false;
    // An engine that ignores the fencing number would carry out a late order
    // of the previous giver. Its lease and its orders on the way have lapsed
    // only after this time.
    const quietMs = pool.fencing === "ignored"
      ? ORDER_LEASE_MS + ORDER_TRANSIT_MS
      : 0;
    return now - since >= quietMs;
  }

  async #sendOrder(
    shard: ShardId,
    pool: UpstreamPool,
    planned: PlannedOrder,
  ): Promise<void> {
    const { environment, membership } = this.#options;
    const key = JSON.stringify(planned);
    const now = environment.clock.now();
    const givenAt = this.#givenAt.get(key);
    if (givenAt !== undefined && now - givenAt < REPEAT_AFTER_MS) return;
    if (!this.#takeStoreToken(planned)) return;
    if (!this.#canGive(shard, pool)) return;
    const fencing = membership.getList().revision;
    this.#givenAt.set(key, now);
    const fields = {
      shard,
      peer: planned.upstream,
      action: planned.order.action,
      model: planned.order.model,
      version: planned.order.version,
      adapter: planned.order.adapter,
      fencing,
    };
    try {
      const accepted = await environment.upstreams.sendOrder(
        planned.upstream,
        { ...planned.order, fencing },
      );
      environment.log.info(accepted ? "order_given" : "order_fenced", fields);
    } catch (thrown) {
      const error = toError(thrown).message;
      environment.log.warn("order_failed", { ...fields, error });
    }
  }

  async #fetchReports(
    upstreams: readonly VmId[],
  ): Promise<Map<VmId, LoadReport>> {
    const { environment } = this.#options;
    const reports = new Map<VmId, LoadReport>();
    await Promise.all(upstreams.map(async (upstream) => {
      try {
        const report = await environment.upstreams.fetchLoad(upstream);
        if (!report.leaving) reports.set(upstream, report);
      } catch {
        // Without a report the upstream gets no order this round.
      }
    }));
    return reports;
  }

  /**
   * The weight store bears a rate for the whole fleet. Each shard's giver
   * takes an equal part of it, which every VM works out from the records
   * alone. The bucket starts empty and holds one order at least, so a change
   * of giver never adds to the rate.
   */
  #addTokens(snapshot: Snapshot): void {
    const now = this.#options.environment.clock.now();
    const shards = countModelShards(snapshot);
    const owned = this.#ownedSince.size;
    const perMs = snapshot.policy.weightStoreOrdersPerMinute / 60_000;
    const share = shards === 0 ? 0 : perMs * owned / shards;
    this.#tokens += share * (now - this.#refilledAt);
    this.#tokens = Math.min(this.#tokens, Math.max(1, share * GIVE_EVERY_MS));
    this.#refilledAt = now;
  }

  #removeOldOrders(): void {
    const oldest = this.#options.environment.clock.now() - REPEAT_AFTER_MS;
    for (const [key, givenAt] of this.#givenAt) {
      if (givenAt < oldest) this.#givenAt.delete(key);
    }
  }

  #takeStoreToken(planned: PlannedOrder): boolean {
    if (planned.order.action !== "load") return true;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

function countModelShards(snapshot: Snapshot): number {
  let shards = 0;
  for (const pool of snapshot.pools.values()) {
    if (pool.type === "model") shards += pool.shards;
  }
  return shards;
}
