/**
 * Gives orders to the engines of the pools that this VM owns by the list.
 *
 * Two givers of one upstream could load different models by turns. A giver is
 * therefore named by the published revision alone: never by a VM's own belief,
 * and never by the records, which may differ between VMs for some seconds. It
 * gives only while that revision was confirmed within `ORDER_LEASE_MS`.
 *
 * @module
 */
import type { LoadReport } from "../../connection/index.ts";
import { toError } from "../../errors.ts";
import type { PoolName, VmId } from "../../ids.ts";
import type { Snapshot, UpstreamPool } from "../../version/index.ts";
import type { Environment } from "../environment.ts";
import type { MembershipView } from "../membership_view.ts";
import { planCommands, type PlannedCommand } from "./model_placement.ts";

/** How long a confirmed view lets a VM give orders, in milliseconds. */
export const COMMAND_LEASE_MS = 10_000;
/** The longest that an order may be on its way, in milliseconds. */
export const COMMAND_TRANSIT_MS = 5_000;
const LEAST_ROUND_MS = 2_000;
/**
 * What each upstream of the owned pools adds to the time between two rounds,
 * so that a giver asks for at most five reports a second however large the pool.
 */
const ROUND_MS_PER_UPSTREAM = 200;
const REPORTS_AT_ONCE = 8;
/** An order that shows no effect in the reports is given again after this. */
const REPEAT_AFTER_MS = 60_000;
const MINUTE_MS = 60_000;

/** What the giver needs from its process. */
export interface EngineControllerOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** Time since the list's revision was last confirmed as the newest. */
  getViewAgeMs: () => number;
  /** The upstreams of a shard, leaving ones left out. */
  listUpstreams: (pool: PoolName, shardIndex: number) => VmId[];
}

/** The giver of orders on one VM. */
export class EngineController {
  readonly #options: EngineControllerOptions;
  /** Since when this VM is the listed owner of each pool. */
  readonly #ownedSince = new Map<PoolName, number>();
  readonly #givenAt = new Map<string, number>();
  #tokens = 0;
  #filledAt: number;

  constructor(options: EngineControllerOptions) {
    this.#options = options;
    this.#filledAt = options.environment.clock.now();
  }

  static create(options: EngineControllerOptions): EngineController {
    return new EngineController(options);
  }

  /** Gives orders until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.environment;
    while (!signal.aborted) {
      await clock.sleep(this.#computeRoundMs(), signal);
      if (signal.aborted) return;
      await this.runRound();
    }
  }

  /** One round over the pools that this VM owns by the list. */
  async runRound(): Promise<void> {
    const snapshot = this.#options.getSnapshot();
    if (snapshot === undefined) return;
    this.#addTokens(snapshot);
    this.#removeOldOrders();
    for (const pool of listModelPools(snapshot)) {
      if (this.#canGive(pool)) await this.#runPool(pool);
    }
  }

  async #runPool(pool: UpstreamPool): Promise<void> {
    for (let shardIndex = 0; shardIndex < pool.shards; shardIndex++) {
      const upstreams = this.#options.listUpstreams(pool.name, shardIndex);
      const reports = await this.#fetchReports(upstreams);
      const input = { pool, shardIndex, upstreams, reports };
      for (const order of planCommands(input)) {
        await this.#sendOrder(pool, order);
      }
    }
  }

  /**
   * Whether this VM is the giver now. Asked again before each send: a process
   * that was paused in between wakes with a view older than its lease.
   */
  #canGive(pool: UpstreamPool): boolean {
    const { environment, membership, getViewAgeMs } = this.#options;
    const owner = membership.findListedOwner(buildOrdersKey(pool.name));
    if (owner !== environment.vm) {
      this.#ownedSince.delete(pool.name);
      return false;
    }
    const now = environment.clock.now();
    const since = this.#ownedSince.get(pool.name) ?? now;
    this.#ownedSince.set(pool.name, since);
    if (getViewAgeMs() > COMMAND_LEASE_MS) return false;
    // An engine that ignores the fencing number would carry out a late order
    // of the previous giver. Its lease and its orders on the way have lapsed
    // only after this time.
    const quietMs = pool.fencing === "ignored"
      ? COMMAND_LEASE_MS + COMMAND_TRANSIT_MS
      : 0;
    return now - since >= quietMs;
  }

  async #sendOrder(pool: UpstreamPool, planned: PlannedCommand): Promise<void> {
    const { environment, membership } = this.#options;
    const key = JSON.stringify(planned);
    const now = environment.clock.now();
    const givenAt = this.#givenAt.get(key);
    if (givenAt !== undefined && now - givenAt < REPEAT_AFTER_MS) return;
    if (!this.#takeStoreToken(planned)) return;
    if (!this.#canGive(pool)) return;
    const fencing = membership.getList().revision;
    this.#givenAt.set(key, now);
    const fields = {
      pool: pool.name,
      peer: planned.upstream,
      action: planned.command.action,
      model: planned.command.model,
      version: planned.command.version,
      adapter: planned.command.adapter,
      role: planned.command.role,
      fencing,
    };
    try {
      const accepted = await environment.upstreams.sendCommand(
        planned.upstream,
        { ...planned.command, fencing },
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
    const reports = new Map<VmId, LoadReport>();
    for (let first = 0; first < upstreams.length; first += REPORTS_AT_ONCE) {
      const some = upstreams.slice(first, first + REPORTS_AT_ONCE);
      await Promise.all(some.map(async (upstream) => {
        const report = await this.#fetchReport(upstream);
        if (report !== undefined) reports.set(upstream, report);
      }));
    }
    return reports;
  }

  /** Undefined where nothing is known: such an upstream gets no order. */
  async #fetchReport(upstream: VmId): Promise<LoadReport | undefined> {
    try {
      const { upstreams } = this.#options.environment;
      const report = await upstreams.fetchLoad(upstream);
      return report.leaving ? undefined : report;
    } catch {
      return undefined;
    }
  }

  #computeRoundMs(): number {
    const { membership } = this.#options;
    let upstreams = 0;
    for (const pool of this.#ownedSince.keys()) {
      upstreams += membership.listUpstreams(pool).length;
    }
    return Math.max(LEAST_ROUND_MS, upstreams * ROUND_MS_PER_UPSTREAM);
  }

  /**
   * The weight store bears a rate for the whole fleet. Each pool's giver takes
   * an equal part of it, which every VM works out from the records alone. The
   * bucket starts empty and holds one order at least, so a change of giver
   * adds nothing to the rate.
   */
  #addTokens(snapshot: Snapshot): void {
    const now = this.#options.environment.clock.now();
    const pools = listModelPools(snapshot).length;
    const perMs = snapshot.policy.weightStoreOrdersPerMinute / MINUTE_MS;
    const share = pools === 0 ? 0 : perMs * this.#ownedSince.size / pools;
    this.#tokens += share * (now - this.#filledAt);
    this.#tokens = Math.min(this.#tokens, Math.max(1, share * LEAST_ROUND_MS));
    this.#filledAt = now;
  }

  #removeOldOrders(): void {
    const oldest = this.#options.environment.clock.now() - REPEAT_AFTER_MS;
    for (const [key, givenAt] of this.#givenAt) {
      if (givenAt < oldest) this.#givenAt.delete(key);
    }
  }

  #takeStoreToken(planned: PlannedCommand): boolean {
    if (planned.command.action !== "load") return true;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

function listModelPools(snapshot: Snapshot): UpstreamPool[] {
  return [...snapshot.pools.values()].filter(({ type }) => type === "model");
}

function buildOrdersKey(pool: PoolName): string {
  return `orders:${pool}`;
}
