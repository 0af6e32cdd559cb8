/**
 * The owner of one shard: queues its requests, grants its slots and keeps its
 * leases.
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

const TICK_INTERVAL_MS = 100;
const TICKS_PER_UPKEEP = 10;

/** Options of a `ShardOwner`. */
export interface ShardOwnerOptions extends ShardComponentsOptions {
  /** The pool's record at creation; used if the snapshot lacks the pool. */
  pool: UpstreamPool;
  /** The shard's upstreams that accept new work. */
  listUpstreams: () => ListedVm[];
  /** The entry VMs whose announcements end the grace period early. */
  listLeaseHolders?: () => VmId[];
}

/** Owner of one shard. All methods tolerate delayed and repeated calls. */
export class ShardOwner {
  readonly shard: ShardId;
  readonly #options: ShardOwnerOptions;
  readonly #environment: Environment;
  readonly #replicas: ReplicaSet;
  readonly #queue: WaitingQueue<Waiter>;
  readonly #leaseManager: LeaseManager;
  readonly #gracePeriod: GracePeriod;
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
    this.#gracePeriod = GracePeriod.create(this.#getNow());
    const components = createShardComponents(
      options,
      (now) => this.#grantAll(now),
    );
    this.#replicas = components.replicas;
    this.#queue = components.queue;
    this.#leaseManager = components.leaseManager;
    this.#tickets = components.tickets;
    this.#granter = components.granter;
    this.onTopologyChange();
    this.#startTick();
  }

  static create(options: ShardOwnerOptions): ShardOwner {
    return new ShardOwner(options);
  }

  /** False during the grace period after a takeover or pause. */
  get canGrant(): boolean {
    return this.#gracePeriod.isOver(this.#getNow());
  }

  get leaseCount(): number {
    return this.#leaseManager.ledger.size;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /**
   * Waits up to `call.holdMs` for a slot, then answers `queued`. A repeated
   * call of the same ticket keeps its position in the queue.
   */
  acquire(call: AcquireCall): Promise<AcquireAnswer> {
    if (this.#stopped) {
      return Promise.resolve({ kind: "not_owner", owner: undefined });
    }
    return this.#tickets.acquire(call, this.#checkPause());
  }

  /** Renews, returns and adopts leases, and removes withdrawn tickets. */
  syncLeases(call: SyncCall): SyncAnswer {
    const now = this.#checkPause();
    const holder = call.from.vm;
    for (const update of call.news) {
      this.#leaseManager.applyUpdate(update, { holder, now });
    }
    for (const ticket of call.withdrawn) this.#tickets.cancel(ticket, now);
    this.#gracePeriod.noteAnnounced(holder, now);
    this.#endGracePeriodEarly(now);
    this.#grantAll(now);
    return {
      isOwner: true,
      preempt: this.#leaseManager.listPreempted(holder),
    };
  }

  /** Applies a load report that was received `receivedAgeMs` ago. */
  applyLoadReport(
    upstream: VmId,
    report: LoadReport,
    receivedAgeMs: number,
  ): void {
    const now = this.#checkPause();
    const replica = this.#replicas.get(upstream);
    replica?.noteReport(report, { ageMs: report.ageMs + receivedAgeMs, now });
    this.#grantAll(now);
  }

  /** Counts a load poll that `upstream` did not answer. */
  noteMissedPoll(upstream: VmId): void {
    const replica = this.#replicas.get(upstream);
    if (replica !== undefined) replica.missedPolls++;
  }

  applyCacheEvents(upstream: VmId, events: readonly CacheEvent[]): void {
    this.#replicas.get(upstream)?.cache.applyEvents(events);
  }

  /** The sequence number of the last cache event applied for `upstream`. */
  getCacheSequence(upstream: VmId): number {
    return this.#replicas.get(upstream)?.cache.sequence ?? 0;
  }

  /** Builds the summary of the shard that is published to the other VMs. */
  buildSummary(): ShardSummary {
    const now = this.#getNow();
    const { ledger } = this.#leaseManager;
    const canGrant = this.#gracePeriod.isOver(now);
    return {
      shard: this.shard,
      owner: this.#environment.vm,
      room: canGrant ? this.#replicas.freeSlots : 0,
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
   * Sequence numbers are at least the process's clock, so that an owner that is
   * created again in this process continues above its predecessor's numbers.
   */
  #takeSequence(now: number): number {
    this.#sequence = Math.max(this.#sequence + 1, Math.floor(now));
    return this.#sequence;
  }

  /** Adopts the queue and the leases of the previous owner. */
  applyHandOver(call: HandOverCall): void {
    const now = this.#checkPause();
    for (const update of call.leases) {
      this.#leaseManager.applyUpdate(update, { holder: call.from.vm, now });
    }
    for (const waiting of call.waiters) {
      this.#tickets.addHandedOver(waiting, now);
    }
    this.#gracePeriod.end(now);
    this.#grantAll(now);
  }

  /** Builds the next owner's copy of queue and leases, with waiting times. */
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
      leases: this.#leaseManager.listUpdates(),
    };
  }

  /** Reloads the list of upstreams. */
  onTopologyChange(): void {
    const now = this.#getNow();
    this.#replicas.updateList(this.#options.listUpstreams(), {
      slots: this.#getPool().slots,
      countInUse: (upstream) => this.#leaseManager.ledger.countInUse(upstream),
      now,
    });
    this.#grantAll(now);
  }

  /** Stops granting and redirects held calls to `nextOwner`. */
  stop(nextOwner?: VmId): void {
    if (this.#stopped) return;
    this.#stopped = true;
    this.#cancelTick?.();
    this.#tickets.settleAll({ kind: "not_owner", owner: nextOwner });
  }

  #grantAll(now: number): void {
    if (this.#stopped || !this.#gracePeriod.isOver(now)) return;
    this.#granter.grantAll(now);
  }

  #startTick(): void {
    this.#cancelTick = this.#environment.clock.startTimer(
      TICK_INTERVAL_MS,
      () => {
        if (this.#stopped) return;
        this.#runTick();
        this.#startTick();
      },
    );
  }

  #runTick(): void {
    const now = this.#checkPause();
    this.#endGracePeriodEarly(now);
    this.#grantAll(now);
    this.#tickets.dropAbandoned(now);
    if (!this.#gracePeriod.isOver(now)) return;
    this.#tickets.refuseExpired(now);
    const expired = this.#leaseManager.closeExpired(now);
    if (expired.length > 0) {
      this.#environment.log.warn("leases_expired", {
        shard: this.shard,
        count: expired.length,
      });
    }
    this.#granter.preempt(now);
    if (this.#ticks++ % TICKS_PER_UPKEEP === 0) this.#runUpkeep(now);
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
    this.#leaseManager.ledger.dropOldClosed(now);
    this.#tickets.dropOld();
  }

  #endGracePeriodEarly(now: number): void {
    const holders = this.#options.listLeaseHolders?.() ?? [];
    this.#gracePeriod.endEarly(holders, now);
  }

  /** Returns the time; a detected pause starts a new grace period. */
  #checkPause(): number {
    const now = this.#getNow();
    if (!this.#gracePeriod.checkPause(now)) return now;
    // A paused process receives no renewals and no calls. Leases that expired
    // meanwhile are kept until the grace period ends, and the tickets' time to
    // live starts again.
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
