/**
 * All shards that this VM owns now.
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

/** How often the load of each owned upstream is asked for, in milliseconds. */
const POLL_EVERY_MS = 1_000;
/** Tries to hand a queue over, and the time between them. */
const HAND_OVER_TRIES = 5;
const HAND_OVER_RETRY_MS = 200;
const HAND_OVER_DEADLINE_MS = 1_000;
/**
 * For so long after its start a process settles for the whole time. An entry
 * VM may not have noticed the restart, and then its first call renews only
 * some of its leases.
 */
const RESTART_MS = 10_000;

/** What the owners are made of. */
export interface ShardOwnersOptions {
  environment: Environment;
  membership: MembershipView;
  getSnapshot: () => Snapshot | undefined;
  features?: Partial<SchedulerFeatures> | undefined;
  /** Requests that may wait in a shard beside the first of each class. */
  queueBound?: number | undefined;
  /** What the owner of a shard last let the fleet know of it. */
  findSummary?: (shard: ShardId) => ShardSummary | undefined;
  /** Hears an upstream's own word, from each load report. */
  onUpstreamLeaving?: (
    upstream: VmId,
    isLeaving: boolean,
    ageMs: number,
  ) => void;
}

/** Makes, feeds and drops the owners of this VM's shards. */
export class ShardOwners {
  readonly #options: ShardOwnersOptions;
  readonly #environment: Environment;
  readonly #polls: LoadPoller;
  readonly #owners = new Map<ShardId, ShardOwner>();
  readonly #stopped = new AbortController();
  readonly #createdAt: number;
  /** Shards that are being handed over. */
  readonly #handOvers = new Set<Promise<void>>();
  #draining = false;

  constructor(options: ShardOwnersOptions) {
    this.#options = options;
    this.#environment = options.environment;
    this.#polls = LoadPoller.create(options);
    this.#createdAt = options.environment.clock.now();
    options.membership.onChange(() => this.#updateOwners());
  }

  static create(options: ShardOwnersOptions): ShardOwners {
    return new ShardOwners(options);
  }

  /** Starts to poll the upstreams of the owned shards. */
  start(): void {
    void this.#runPolls();
  }

  stop(): void {
    this.#stopped.abort();
    for (const owner of this.#owners.values()) owner.stop();
    this.#owners.clear();
  }

  /** Answers another VM's, or this VM's own, call for a slot. */
  async acquire(call: AcquireCall): Promise<AcquireAnswer> {
    const owner = this.#getOwner(call.shard);
    if (owner !== undefined) return await owner.acquire(call);
    return { kind: "not_owner", owner: this.#findOtherOwner(call.shard) };
  }

  /** Answers a call that renews, returns and announces leases. */
  syncLeases(call: SyncCall): SyncAnswer {
    const owner = this.#getOwner(call.shard);
    return owner?.syncLeases(call) ?? { isOwner: false, preempt: [] };
  }

  /** Takes a shard over from a VM that drains; false where not its owner. */
  handOver(call: HandOverCall): boolean {
    const owner = this.#getOwner(call.shard);
    owner?.takeHandOver(call);
    return owner !== undefined;
  }

  /** The summaries of the owned shards. */
  listSummaries(): ShardSummary[] {
    return this.listOwners().map((owner) => owner.buildSummary());
  }

  /** The owners of the shards that this VM owns now. */
  listOwners(): ShardOwner[] {
    return [...this.#owners.values()];
  }

  /** Hands every queue on, for a drain; resolves when all has been tried. */
  async handOverAll(): Promise<void> {
    this.#draining = true;
    for (const owner of this.listOwners()) this.#startHandOver(owner);
    await Promise.all(this.#handOvers);
  }

  /** The owner of `shard` on this VM, made when there is none yet. */
  #getOwner(shard: ShardId): ShardOwner | undefined {
    const pool = this.#findPool(shard);
    if (pool === undefined || !this.#isMine(shard)) return undefined;
    const known = this.#owners.get(shard);
    if (known !== undefined) return known;
    const owner = this.#createOwner(shard, pool);
    this.#owners.set(shard, owner);
    this.#environment.log.info("shard_taken", { shard });
    return owner;
  }

  #createOwner(shard: ShardId, pool: UpstreamPool): ShardOwner {
    const { environment, getSnapshot, features: decisions, queueBound } =
      this.#options;
    return ShardOwner.create({
      environment,
      shard,
      pool,
      getSnapshot,
      features: decisions,
      queueBound,
      listUpstreams: () => this.#listUpstreams(shard, pool),
      listLeaseHolders: () => this.#listHolders(),
      listOtherShards: () => this.#listOthers(shard, pool),
    });
  }

  #isMine(shard: ShardId): boolean {
    if (this.#draining || this.#stopped.signal.aborted) return false;
    const owner = this.#options.membership.findOwner(buildShardKey(shard));
    return owner === this.#environment.vm;
  }

  /** The owner to name to a caller, which is never this VM. */
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

  /** The VMs whose announcements end settling; none after a restart. */
  #listHolders(): VmId[] {
    const { membership } = this.#options;
    const upMs = this.#environment.clock.now() - this.#createdAt;
    if (upMs < RESTART_MS) return [];
    return membership.listEntryVms()
      .map((vm) => vm.id)
      .filter((vm) => membership.isReachable(vm));
  }

  #listOthers(shard: ShardId, pool: UpstreamPool): ShardSummary[] {
    const { findSummary } = this.#options;
    if (findSummary === undefined) return [];
    return listPoolShards(pool)
      .filter((other) => other !== shard)
      .flatMap((other) => findSummary(other) ?? []);
  }

  /** Drops shards that are no longer this VM's; tells the others of changes. */
  #updateOwners(): void {
    for (const [shard, owner] of this.#owners) {
      if (this.#draining) return;
      if (this.#findPool(shard) !== undefined && this.#isMine(shard)) {
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
   * Ends an owner and hands its queue and ledger to the next one. Grants stop
   * first: a slot granted after the ledger was read would be granted twice.
   */
  async #handOverShard(owner: ShardOwner): Promise<void> {
    const { shard } = owner;
    if (this.#owners.get(shard) !== owner) return;
    const handOver = owner.buildHandOver();
    this.#owners.delete(shard);
    owner.stop(this.#findOtherOwner(shard));
    for (let tried = 0; tried < HAND_OVER_TRIES; tried++) {
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
    // The next owner settles as after a crash: entry VMs announce their leases
    // and waiters call again.
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
      this.#createOwned();
      this.#updateOwners();
      const polls = this.listOwners().map((owner) =>
        this.#fetchShardLoads(owner)
      );
      const pause = this.#environment.clock.sleep(POLL_EVERY_MS, signal);
      await Promise.all([pause, ...polls]);
    }
  }

  /** Owns the listed shards before their first call, so that it need not wait. */
  #createOwned(): void {
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
    await this.#polls.fetchLoads(owner, upstreams.map(({ id }) => id));
  }
}
