/**
 * Sends commands to the engines of the pools that this VM controls.
 *
 * Two controllers of one upstream could load different models by turns. The
 * controller of a pool therefore follows from the published list alone, not
 * from the member states that a VM sees, nor from the records, which may differ
 * between VMs for some seconds. A controller sends commands only while its
 * revision of the list was confirmed within `COMMAND_LEASE_MS`.
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

/** How long after confirming the list's revision a VM may send commands. */
export const COMMAND_LEASE_MS = 10_000;
/** Maximum time that a command may be in transit. */
export const COMMAND_TRANSIT_MS = 5_000;
const MIN_ROUND_INTERVAL_MS = 2_000;
/**
 * Interval between rounds for each upstream, so that a controller fetches at
 * most five reports a second whatever the pool size.
 */
const ROUND_INTERVAL_PER_UPSTREAM_MS = 200;
const MAX_CONCURRENT_REPORTS = 8;
/** A command without an effect in the load reports is sent again after this. */
const RESEND_AFTER_MS = 60_000;
const MINUTE_MS = 60_000;

/** Options of an `EngineController`. */
export interface EngineControllerOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  /** Time since the list's revision was last confirmed to be the newest. */
  getViewAgeMs: () => number;
  /** Lists the upstreams of a shard, except those that are leaving. */
  listUpstreams: (pool: PoolName, shardIndex: number) => VmId[];
}

/** The engine controller of one VM. */
export class EngineController {
  readonly #options: EngineControllerOptions;
  /** Since when this VM is the controller of each pool. */
  readonly #ownedSince = new Map<PoolName, number>();
  /** When each command was sent, by its JSON. */
  readonly #sentAt = new Map<string, number>();
  /** Token bucket of loads from the weight store. */
  #tokens = 0;
  #refilledAt: number;

  constructor(options: EngineControllerOptions) {
    this.#options = options;
    this.#refilledAt = options.environment.clock.now();
  }

  static create(options: EngineControllerOptions): EngineController {
    return new EngineController(options);
  }

  /** Sends commands until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock } = this.#options.environment;
    while (!signal.aborted) {
      await clock.sleep(this.#computeRoundIntervalMs(), signal);
      if (signal.aborted) return;
      await this.runRound();
    }
  }

  /** Runs one round over the pools that this VM controls. */
  async runRound(): Promise<void> {
    const snapshot = this.#options.getSnapshot();
    if (snapshot === undefined) return;
    this.#addTokens(snapshot);
    this.#dropOldCommands();
    for (const pool of listModelPools(snapshot)) {
      if (this.#canSend(pool)) await this.#runPool(pool);
    }
  }

  async #runPool(pool: UpstreamPool): Promise<void> {
    for (let shardIndex = 0; shardIndex < pool.shards; shardIndex++) {
      const upstreams = this.#options.listUpstreams(pool.name, shardIndex);
      const reports = await this.#fetchReports(upstreams);
      const input = { pool, shardIndex, upstreams, reports };
      for (const command of planCommands(input)) {
        await this.#sendCommand(pool, command);
      }
    }
  }

  /**
   * Whether this VM may send commands to the pool now. Checked again before
   * each send: a process that was paused in between may have lost its lease.
   */
  #canSend(pool: UpstreamPool): boolean {
    const { environment, membership, getViewAgeMs } = this.#options;
    const owner = membership.findListedOwner(buildControllerKey(pool.name));
    if (owner !== environment.vm) {
      this.#ownedSince.delete(pool.name);
      return false;
    }
    const now = environment.clock.now();
    const since = this.#ownedSince.get(pool.name) ?? now;
    this.#ownedSince.set(pool.name, since);
    if (getViewAgeMs() > COMMAND_LEASE_MS) return false;
    // An engine that ignores fencing numbers would execute a late command of
    // the previous controller, so wait until that controller's lease and its
    // commands in transit have expired.
    const takeoverDelayMs = pool.fencing === "ignored"
      ? COMMAND_LEASE_MS + COMMAND_TRANSIT_MS
      : 0;
    return now - since >= takeoverDelayMs;
  }

  async #sendCommand(
    pool: UpstreamPool,
    planned: PlannedCommand,
  ): Promise<void> {
    const { environment, membership } = this.#options;
    const key = JSON.stringify(planned);
    const now = environment.clock.now();
    const sentAt = this.#sentAt.get(key);
    if (sentAt !== undefined && now - sentAt < RESEND_AFTER_MS) return;
    if (!this.#takeWeightStoreToken(planned)) return;
    if (!this.#canSend(pool)) return;
    const fencing = membership.getList().revision;
    this.#sentAt.set(key, now);
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
    for (
      let first = 0;
      first < upstreams.length;
      first += MAX_CONCURRENT_REPORTS
    ) {
      const batch = upstreams.slice(first, first + MAX_CONCURRENT_REPORTS);
      await Promise.all(batch.map(async (upstream) => {
        const report = await this.#fetchReport(upstream);
        if (report !== undefined) reports.set(upstream, report);
      }));
    }
    return reports;
  }

  /**
   * Returns undefined if the upstream does not answer or is leaving; such an
   * upstream gets no command.
   */
  async #fetchReport(upstream: VmId): Promise<LoadReport | undefined> {
    try {
      const { upstreams } = this.#options.environment;
      const report = await upstreams.fetchLoad(upstream);
      return report.leaving ? undefined : report;
    } catch {
      return undefined;
    }
  }

  #computeRoundIntervalMs(): number {
    const { membership } = this.#options;
    let upstreams = 0;
    for (const pool of this.#ownedSince.keys()) {
      upstreams += membership.listUpstreams(pool).length;
    }
    return Math.max(
      MIN_ROUND_INTERVAL_MS,
      upstreams * ROUND_INTERVAL_PER_UPSTREAM_MS,
    );
  }

  /**
   * Refills the token bucket. The weight store sustains a rate for the whole
   * fleet. Each pool's controller uses an equal part of it, which every VM
   * computes from the records alone. The bucket starts empty and holds at least
   * one load, so a change of controller does not raise the rate.
   */
  #addTokens(snapshot: Snapshot): void {
    const now = this.#options.environment.clock.now();
    const pools = listModelPools(snapshot).length;
    const perMs = snapshot.policy.weightStoreOrdersPerMinute / MINUTE_MS;
    const share = pools === 0 ? 0 : perMs * this.#ownedSince.size / pools;
    this.#tokens += share * (now - this.#refilledAt);
    this.#tokens = Math.min(
      this.#tokens,
      Math.max(1, share * MIN_ROUND_INTERVAL_MS),
    );
    this.#refilledAt = now;
  }

  #dropOldCommands(): void {
    const oldest = this.#options.environment.clock.now() - RESEND_AFTER_MS;
    for (const [key, sentAt] of this.#sentAt) {
      if (sentAt < oldest) this.#sentAt.delete(key);
    }
  }

  #takeWeightStoreToken(planned: PlannedCommand): boolean {
    if (planned.command.action !== "load") return true;
    if (this.#tokens < 1) return false;
    this.#tokens -= 1;
    return true;
  }
}

function listModelPools(snapshot: Snapshot): UpstreamPool[] {
  return [...snapshot.pools.values()].filter(({ type }) => type === "model");
}

function buildControllerKey(pool: PoolName): string {
  return `orders:${pool}`;
}
