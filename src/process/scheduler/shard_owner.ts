/**
 * The owner of one shard: its queue, its leases and its decisions.
 *
 * @module
 */
import type {
  CacheEvent,
  LoadReport,
} from "../../connection/upstream_transport.ts";
import type { ShardId, VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { UpstreamPool } from "../../version/records.ts";
import type { CancelTimer } from "../clock.ts";
import type { Environment } from "../environment.ts";
import type {
  AcquireAnswer,
  AcquireCall,
  HandOverCall,
  ShardSummary,
  SyncAnswer,
  SyncCall,
} from "../peer_api.ts";
import { GracePeriod } from "./grace_period.ts";
import type { Granter } from "./granter.ts";
import type { LeaseManager } from "./lease_manager.ts";
import type { ReplicaSet } from "./replica_set.ts";
import {
  createShardComponents,
  type ShardComponentsOptions,
} from "./shard_components.ts";
import type { ShardTickets } from "./shard_tickets.ts";
import type { Waiter } from "./waiter.ts";
import type { WaitingQueue } from "./waiting_queue.ts";

const TICK_MS = 100;
/** Ticks between the slower rounds of upkeep. */
const UPKEEP_TICKS = 10;

/** What an owner is made of. */
export interface ShardOwnerOptions extends ShardComponentsOptions {
  /** The pool as it is when the owner begins. */
  pool: UpstreamPool;
  /** The shard's upstreams that may get new work. */
  listUpstreams: () => ListedVm[];
  /** The entry VMs whose announcements end the settling time early. */
  listLeaseHolders?: () => VmId[];
}

/** One shard's owner. Every method may be called late or twice. */
export class ShardOwner {
  readonly shard: ShardId;
  readonly #options: ShardOwnerOptions;
  readonly #environment: Environment;
  readonly #replicas: ReplicaSet;
  readonly #queue: WaitingQueue<Waiter>;
  readonly #accounts: LeaseManager;
  readonly #authority: GracePeriod;
  readonly #tickets: ShardTickets;
  readonly #granter: Granter;
  #cancelTick: CancelTimer | undefined;
  #ticks = 0;
  #sequence = 0;
  #stopped = false;

  constructor(options: ShardOwnerOptions) {
    this.shard = options.shard;
    this.#options = options;
    this.#environment = options.environment;
    this.#authority = GracePeriod.create(this.#getNow());
    const parts = createShardComponents(options, (now) => this.#grantAll(now));
    this.#replicas = parts.replicas;
    this.#queue = parts.queue;
    this.#accounts = parts.accounts;
    this.#tickets = parts.tickets;
    this.#granter = parts.granter;
    this.onTopologyChange();
    this.#startTick();
  }

  static create(options: ShardOwnerOptions): ShardOwner {
    return new ShardOwner(options);
  }

  /** Whether grants are made, and not held back after a takeover or pause. */
  get canGrant(): boolean {
    return this.#authority.isSettled(this.#getNow());
  }

  /** Leases in the ledger. */
  get leaseCount(): number {
    return this.#accounts.ledger.size;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /**
   * Waits for a slot, `call.holdMs` at most, then answers `queued`. The same
   * ticket called again keeps its place.
   */
  acquire(call: AcquireCall): Promise<AcquireAnswer> {
    if (this.#stopped) {
      return Promise.resolve({ kind: "not_owner", owner: undefined });
    }
    return this.#tickets.acquire(call, this.#noteAlive());
  }

  /** Renews, returns and adopts leases, and takes withdrawn tickets out. */
  syncLeases(call: SyncCall): SyncAnswer {
    const now = this.#noteAlive();
    const holder = call.from.vm;
    for (const news of call.news) {
      this.#accounts.applyNews(news, { holder, now });
    }
    for (const ticket of call.withdrawn) this.#tickets.cancel(ticket, now);
    this.#authority.noteAnnounced(holder, now);
    this.#endSettlingEarly(now);
    this.#grantAll(now);
    return {
      isOwner: true,
      preempt: this.#accounts.listPreempted(holder),
    };
  }

  /** Takes in a load report that was received `receivedAgeMs` ago. */
  applyLoadReport(
    upstream: VmId,
    report: LoadReport,
    receivedAgeMs: number,
  ): void {
    const now = this.#noteAlive();
    const replica = this.#replicas.get(upstream);
    replica?.noteReport(report, { ageMs: report.ageMs + receivedAgeMs, now });
    this.#grantAll(now);
  }

  /** Notes that `upstream` did not answer a poll. */
  noteMissedPoll(upstream: VmId): void {
    const replica = this.#replicas.get(upstream);
    if (replica !== undefined) replica.missedPolls++;
  }

  applyCacheEvents(upstream: VmId, events: readonly CacheEvent[]): void {
    this.#replicas.get(upstream)?.cache.applyEvents(events);
  }

  /** The sequence of the last cache event that was taken in. */
  getCacheSequence(upstream: VmId): number {
    return this.#replicas.get(upstream)?.cache.sequence ?? 0;
  }

  /** What other VMs should know of the shard. */
  buildSummary(): ShardSummary {
    const now = this.#getNow();
    const { ledger } = this.#accounts;
    const settled = this.#authority.isSettled(now);
    return {
      shard: this.shard,
      owner: this.#environment.vm,
      room: settled ? this.#replicas.freeSlots : 0,
      slots: this.#replicas.slots,
      waitingByRank: this.#queue.countByRank(),
      lowestRank: Math.max(
        ledger.findLowestRank() ?? 0,
        this.#queue.findLowestRank() ?? 0,
      ),
      expectedWaitMs: this.#tickets.waits.computeLowestWait(),
      sequence: this.#takeSequence(now),
      incarnation: this.#environment.incarnation,
    };
  }

  /**
   * Follows the process's clock, so that an owner that comes back to this
   * process goes on above the numbers of its predecessor.
   */
  #takeSequence(now: number): number {
    this.#sequence = Math.max(this.#sequence + 1, Math.floor(now));
    return this.#sequence;
  }

  /** Takes the queue and the ledger of the previous owner over. */
  takeHandOver(call: HandOverCall): void {
    const now = this.#noteAlive();
    for (const news of call.leases) {
      this.#accounts.applyNews(news, { holder: call.from.vm, now });
    }
    for (const waiting of call.waiters) {
      this.#tickets.addHandedOver(waiting, now);
    }
    this.#authority.endSettling(now);
    this.#grantAll(now);
  }

  /** The queue and the ledger for the next owner, with the waiters' ages. */
  buildHandOver(): HandOverCall {
    const now = this.#getNow();
    const { vm, incarnation } = this.#environment;
    const waiters = [...this.#queue.list()].map((waiter) => ({
      ...waiter.call,
      ageMs: now - waiter.arrivedAt,
      deadlineInMs: waiter.deadlineAt - now,
      holdMs: 0,
    }));
    return {
      from: { vm, incarnation },
      shard: this.shard,
      waiters,
      leases: this.#accounts.listNews(),
    };
  }

  /** Reads the list of upstreams again. */
  onTopologyChange(): void {
    const now = this.#getNow();
    this.#replicas.updateList(this.#options.listUpstreams(), {
      slots: this.#getPool().slots,
      countInUse: (upstream) => this.#accounts.ledger.countInUse(upstream),
      now,
    });
    this.#grantAll(now);
  }

  /** Stops granting; held calls are told to look for the owner anew. */
  stop(nextOwner?: VmId): void {
    if (this.#stopped) return;
    this.#stopped = true;
    this.#cancelTick?.();
    this.#tickets.settleAll({ kind: "not_owner", owner: nextOwner });
  }

  #grantAll(now: number): void {
    if (this.#stopped || !this.#authority.isSettled(now)) return;
    this.#granter.grantAll(now);
  }

  #startTick(): void {
    this.#cancelTick = this.#environment.clock.startTimer(TICK_MS, () => {
      if (this.#stopped) return;
      this.#runTick();
      this.#startTick();
    });
  }

  #runTick(): void {
    const now = this.#noteAlive();
    this.#endSettlingEarly(now);
    this.#grantAll(now);
    this.#tickets.dropGone(now);
    if (!this.#authority.isSettled(now)) return;
    this.#tickets.refuseHopeless(now);
    const expired = this.#accounts.closeExpired(now);
    if (expired.length > 0) {
      this.#environment.log.warn("leases_expired", {
        shard: this.shard,
        count: expired.length,
      });
    }
    this.#granter.preempt(now);
    if (this.#ticks++ % UPKEEP_TICKS === 0) this.#runUpkeep(now);
    this.#grantAll(now);
  }

  #runUpkeep(now: number): void {
    this.#tickets.refuseUnserved(now);
    for (const change of this.#replicas.update(now)) {
      this.#environment.log.warn(`replica_${change.change}`, {
        shard: this.shard,
        peer: change.replica.id,
        why: change.why,
      });
    }
    this.#queue.dropIdle();
    this.#accounts.ledger.dropOldClosed(now);
    this.#tickets.dropOld();
  }

  #endSettlingEarly(now: number): void {
    const holders = this.#options.listLeaseHolders?.() ?? [];
    this.#authority.endEarly(holders, now);
  }

  /** The time now; after a pause the owner settles anew before it grants. */
  #noteAlive(): number {
    const now = this.#getNow();
    if (!this.#authority.noteAlive(now)) return now;
    // Renewals and calls could not come in while the process stood still:
    // leases that ran out meanwhile stay until the end of settling, and
    // tickets get their whole time anew.
    this.#tickets.renewAll(now);
    this.#environment.log.warn("owner_paused", { shard: this.shard });
    return now;
  }

  #getNow(): number {
    return this.#environment.clock.now();
  }

  #getPool(): UpstreamPool {
    const { pool, getSnapshot } = this.#options;
    return getSnapshot()?.pools.get(pool.name) ?? pool;
  }
}
