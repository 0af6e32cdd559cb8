/**
 * The owners of all shards that this VM currently owns.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { ShardId, VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { Snapshot, UpstreamPool } from "../../version/records.ts";
import type { Environment } from "../environment.ts";
import { withTimeout } from "../with_timeout.ts";
import type { MembershipView } from "../membership_view.ts";
import type {
  AcquireAnswer,
  AcquireCall,
  HandOverCall,
  ShardSummary,
  SyncAnswer,
  SyncCall,
} from "../peer_api.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import { LoadPoller } from "./load_poller.ts";
import { ShardOwner } from "./shard_owner.ts";
import {
  buildShardKey,
  listNonEmptyShards,
  listPoolShards,
  listShardUpstreams,
  parseShardId,
} from "./shards.ts";

const POLL_INTERVAL_MS = 1_000;
const HAND_OVER_ATTEMPTS = 5;
const HAND_OVER_RETRY_MS = 200;
const HAND_OVER_DEADLINE_MS = 1_000;
/**
 * Time after the start of the process during which a grace period never ends
 * early. An entry VM that has not noticed the restart reports only those of its
 * leases that are due for renewal in its first call.
 */
const RESTART_GRACE_MS = 10_000;

/** Options of `ShardOwners`. */
export interface ShardOwnersOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  features?: Partial<SchedulerFeatures> | undefined;
  /** Maximum queue length of a shard, not counting the first of each class. */
  queueBound?: number | undefined;
  /** Finds the latest summary that a shard's owner has published. */
  findSummary?: (shard: ShardId) => ShardSummary | undefined;
  /** Called for each load report with the upstream's leaving notice. */
  onUpstreamLeaving?: (
    upstream: VmId,
    isLeaving: boolean,
    ageMs: number,
  ) => void;
}

/** Creates, updates and removes the owners of this VM's shards. */
export class ShardOwners {
  readonly #options: ShardOwnersOptions;
  readonly #environment: Environment;
  readonly #poller: LoadPoller;
  readonly #owners = new Map<ShardId, ShardOwner>();
  readonly #stopped = new AbortController();
  readonly #createdAt: number;
  /** Hand-overs in progress. */
  readonly #handOvers = new Set<Promise<void>>();
  #draining = false;

  constructor(options: ShardOwnersOptions) {
    this.#options = options;
    this.#environment = options.environment;
    this.#poller = LoadPoller.create(options);
    this.#createdAt = options.environment.clock.now();
    options.membership.onChange(() => this.#updateOwners());
  }

  static create(options: ShardOwnersOptions): ShardOwners {
    return new ShardOwners(options);
  }

  /** Starts polling the load of the upstreams in the owned shards. */
  start(): void {
    void this.#runPolls();
  }

  stop(): void {
    this.#stopped.abort();
    for (const owner of this.#owners.values()) owner.stop();
    this.#owners.clear();
  }

  /** Handles a call for a slot from any VM, including this one. */
  async acquire(call: AcquireCall): Promise<AcquireAnswer> {
    const owner = this.#getOwner(call.shard);
    if (owner !== undefined) return await owner.acquire(call);
    return { kind: "not_owner", owner: this.#findOtherOwner(call.shard) };
  }

  /** Handles a call that renews, returns and announces leases. */
  syncLeases(call: SyncCall): SyncAnswer {
    const owner = this.#getOwner(call.shard);
    return owner?.syncLeases(call) ?? { isOwner: false, preempt: [] };
  }

  /**
   * Takes a shard over from a draining VM; false if this VM is not its owner.
   */
  handOver(call: HandOverCall): boolean {
    const owner = this.#getOwner(call.shard);
    owner?.applyHandOver(call);
    return owner !== undefined;
  }

  listSummaries(): ShardSummary[] {
    return this.listOwners().map((owner) => owner.buildSummary());
  }

  listOwners(): ShardOwner[] {
    return [...this.#owners.values()];
  }

  /**
   * Hands every shard over to its next owner when this VM drains. Resolves when
   * all hand-overs have succeeded or failed.
   */
  async handOverAll(): Promise<void> {
    this.#draining = true;
    for (const owner of this.listOwners()) this.#startHandOver(owner);
    await Promise.all(this.#handOvers);
  }

  /** Returns this VM's owner of `shard`, created on first use. */
  #getOwner(shard: ShardId): ShardOwner | undefined {
    const pool = this.#findPool(shard);
    if (pool === undefined || !this.#isOwnedHere(shard)) return undefined;
    const known = this.#owners.get(shard);
    if (known !== undefined) return known;
    const owner = this.#createOwner(shard, pool);
    this.#owners.set(shard, owner);
    this.#environment.log.info("shard_taken", { shard });
    return owner;
  }

  #createOwner(shard: ShardId, pool: UpstreamPool): ShardOwner {
    const { environment, getSnapshot, features, queueBound } = this.#options;
    return ShardOwner.create({
      environment,
      shard,
      pool,
      getSnapshot,
      features,
      queueBound,
      listUpstreams: () => this.#listUpstreams(shard, pool),
      listLeaseHolders: () => this.#listLeaseHolders(),
      listOtherShards: () => this.#listOtherShards(shard, pool),
    });
  }

  #isOwnedHere(shard: ShardId): boolean {
    if (this.#draining || this.#stopped.signal.aborted) return false;
    const owner = this.#options.membership.findOwner(buildShardKey(shard));
    return owner === this.#environment.vm;
  }

  /** The owner that a caller is redirected to, which is never this VM. */
  #findOtherOwner(shard: ShardId): VmId | undefined {
    const owner = this.#options.membership.findOwner(buildShardKey(shard));
    return owner === this.#environment.vm ? undefined : owner;
  }

  #findPool(shard: ShardId): UpstreamPool | undefined {
    const parsed = parseShardId(shard);
    const pool = parsed && this.#options.getSnapshot()?.pools.get(parsed.pool);
    return pool && listPoolShards(pool).includes(shard) ? pool : undefined;
  }

  #listUpstreams(shard: ShardId, pool: UpstreamPool): ListedVm[] {
    const current = this.#options.getSnapshot()?.pools.get(pool.name) ?? pool;
    const vms = this.#options.membership.listUpstreams(current.name);
    return listShardUpstreams(shard, { pool: current, vms });
  }

  /**
   * The VMs whose announcements end a grace period early. Empty soon after a
   * start, so that the grace period lasts its full time.
   */
  #listLeaseHolders(): VmId[] {
    const { membership } = this.#options;
    const upMs = this.#environment.clock.now() - this.#createdAt;
    if (upMs < RESTART_GRACE_MS) return [];
    return membership.listEntryVms()
      .map((vm) => vm.id)
      .filter((vm) => membership.isReachable(vm));
  }

  #listOtherShards(shard: ShardId, pool: UpstreamPool): ShardSummary[] {
    const { findSummary } = this.#options;
    if (findSummary === undefined) return [];
    return listPoolShards(pool)
      .filter((other) => other !== shard)
      .flatMap((other) => findSummary(other) ?? []);
  }

  /** Hands over shards that this VM no longer owns and updates the others. */
  #updateOwners(): void {
    for (const [shard, owner] of this.#owners) {
      if (this.#draining) return;
      if (this.#findPool(shard) !== undefined && this.#isOwnedHere(shard)) {
        owner.onTopologyChange();
      } else {
        this.#startHandOver(owner);
      }
    }
  }

  #startHandOver(owner: ShardOwner): void {
    const handOver = this.#handOverShard(owner);
    this.#handOvers.add(handOver);
    void handOver.finally(() => this.#handOvers.delete(handOver));
  }

  /**
   * Stops an owner and sends its queue and leases to the next one. The owner
   * must grant nothing after its leases are copied: the next owner would grant
   * the same slot again.
   */
  async #handOverShard(owner: ShardOwner): Promise<void> {
    const { shard } = owner;
    if (this.#owners.get(shard) !== owner) return;
    const handOver = owner.buildHandOver();
    this.#owners.delete(shard);
    owner.stop(this.#findOtherOwner(shard));
    for (let attempt = 0; attempt < HAND_OVER_ATTEMPTS; attempt++) {
      const next = this.#findOtherOwner(shard);
      if (next === undefined || this.#stopped.signal.aborted) break;
      if (await this.#sendHandOver(next, handOver)) {
        this.#environment.log.info("shard_handed_over", {
          shard,
          peer: next,
          waiters: handOver.waiters.length,
          leases: handOver.leases.length,
        });
        return;
      }
      await this.#environment.clock.sleep(
        HAND_OVER_RETRY_MS,
        this.#stopped.signal,
      );
    }
    // The next owner recovers as after a crash: entry VMs announce their leases
    // and waiting tickets call again.
    this.#environment.log.warn("shard_not_handed_over", { shard });
  }

  async #sendHandOver(next: VmId, call: HandOverCall): Promise<boolean> {
    const { peers, clock, log } = this.#environment;
    try {
      const answer = peers.getPeer(next).handOver(call);
      return await withTimeout(answer, HAND_OVER_DEADLINE_MS, clock) ?? false;
    } catch (thrown) {
      const error = toError(thrown).message;
      log.warn("hand_over_failed", { shard: call.shard, peer: next, error });
      return false;
    }
  }

  async #runPolls(): Promise<void> {
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      this.#createListedOwners();
      this.#updateOwners();
      const polls = this.listOwners().map((owner) =>
        this.#fetchShardLoads(owner)
      );
      const interval = this.#environment.clock.sleep(POLL_INTERVAL_MS, signal);
      await Promise.all([interval, ...polls]);
    }
  }

  /**
   * Creates the owners of listed shards before their first call, so that the
   * call does not have to wait for the grace period.
   */
  #createListedOwners(): void {
    const pools = this.#options.getSnapshot()?.pools.values() ?? [];
    for (const pool of pools) {
      const vms = this.#options.membership.listUpstreams(pool.name);
      for (const shard of listNonEmptyShards(pool, vms)) this.#getOwner(shard);
    }
  }

  async #fetchShardLoads(owner: ShardOwner): Promise<void> {
    const pool = this.#findPool(owner.shard);
    if (pool === undefined || pool.type !== "model") return;
    const upstreams = this.#listUpstreams(owner.shard, pool);
    await this.#poller.fetchLoads(owner, upstreams.map(({ id }) => id));
  }
}
