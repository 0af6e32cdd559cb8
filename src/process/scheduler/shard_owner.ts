/**
 * The owner of one shard: its queue, its leases and its decisions.
 *
 * @module
 */
import type {
  CacheEvent,
  LoadReport,
} from "../../connection/upstream_transport.ts";
import type { ShardId, TicketId, VmId } from "../../ids.ts";
import type { ListedVm } from "../../version/membership_list.ts";
import type { Snapshot, UpstreamPool } from "../../version/records.ts";
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
import { Authority } from "./authority.ts";
import { buildDecisions, type SchedulerDecisions } from "./decisions.ts";
import { LeaseAccounts } from "./lease_accounts.ts";
import { OutputLengths } from "./output_lengths.ts";
import { chooseVictim } from "./preemption.ts";
import type { Replica } from "./replica.ts";
import { chooseReplica, type ReplicaWish } from "./replica_choice.ts";
import { ReplicaSet } from "./replica_set.ts";
import { ServiceSpeed } from "./service_speed.ts";
import { ShardAdmission } from "./shard_admission.ts";
import type { Waiter } from "./waiter.ts";
import { WaiterFactory } from "./waiter_factory.ts";
import { WaitingQueue } from "./waiting_queue.ts";

const TICK_MS = 100;
/** Ticks between the slower rounds of upkeep. */
const UPKEEP_TICKS = 10;
/** Beyond the hold: how long a ticket may stay away before it leaves. */
export const TICKET_TTL_MS = 2_000;
/** The share of slots that long work cannot take. */
const SHORT_RESERVE = 0.125;
/** Time until a preempted slot is back: one sync of its holder and a margin. */
const PREEMPT_RETURN_MS = 700;

/** What an owner is made of. */
export interface ShardOwnerOptions {
  environment: Environment;
  shard: ShardId;
  /** The pool as it is when the owner begins. */
  pool: UpstreamPool;
  getSnapshot: () => Snapshot | undefined;
  /** The shard's upstreams that may get new work. */
  listUpstreams: () => ListedVm[];
  /** The entry VMs whose announcements end the settling time early. */
  listHolders?: () => VmId[];
  /** What is known of the pool's other shards. */
  listOthers?: () => ShardSummary[];
  decisions?: Partial<SchedulerDecisions> | undefined;
  /** Requests that may wait beside the first of each class. */
  queueBound?: number | undefined;
}

/** One shard's owner. Every method may be called late or twice. */
export class ShardOwner {
  readonly shard: ShardId;
  readonly #options: ShardOwnerOptions;
  readonly #environment: Environment;
  readonly #decisions: SchedulerDecisions;
  readonly #replicas: ReplicaSet;
  readonly #queue: WaitingQueue<Waiter>;
  readonly #accounts: LeaseAccounts;
  readonly #factory: WaiterFactory;
  readonly #admission: ShardAdmission;
  readonly #authority: Authority;
  /** Tickets between two calls. */
  readonly #uncalled = new Set<Waiter>();
  #cancelTick: CancelTimer | undefined;
  #ticks = 0;
  #summaries = 0;
  #stopped = false;

  constructor(options: ShardOwnerOptions) {
    const { environment, getSnapshot, shard } = options;
    const now = environment.clock.now();
    const decisions = buildDecisions(options.decisions);
    const lengths = OutputLengths.create(decisions.learntLengths);
    const speed = ServiceSpeed.create();
    this.shard = shard;
    this.#options = options;
    this.#environment = environment;
    this.#decisions = decisions;
    this.#replicas = ReplicaSet.create(decisions);
    this.#queue = WaitingQueue.create(decisions);
    this.#factory = WaiterFactory.create(getSnapshot, { lengths, speed });
    this.#accounts = LeaseAccounts.create({
      shard,
      random: environment.random,
      replicas: this.#replicas,
      factory: this.#factory,
      lengths,
      speed,
      decisions,
      onServed: (entry, tokens) =>
        this.#queue.noteServed(entry, tokens - entry.chargedTokens),
    });
    this.#admission = ShardAdmission.create({
      clock: environment.clock,
      queue: this.#queue,
      replicas: this.#replicas,
      ledger: this.#accounts.ledger,
      factory: this.#factory,
      decisions,
      getSnapshot,
      listOthers: options.listOthers ?? (() => []),
      queueBound: options.queueBound,
    });
    this.#authority = Authority.create(now);
    this.onTopologyChange();
    this.#startTick();
  }

  static create(options: ShardOwnerOptions): ShardOwner {
    return new ShardOwner(options);
  }

  /** Whether grants are made, and not held back after a takeover or pause. */
  get isSettled(): boolean {
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
    const now = this.#noteAlive();
    const { ledger } = this.#accounts;
    const held = ledger.findByTicket(call.ticket);
    if (held !== undefined) {
      const lease = this.#accounts.buildSlotLease(held);
      return Promise.resolve({ kind: "granted", lease });
    }
    if (ledger.isClosed(call.ticket, now)) {
      return Promise.resolve(this.#admission.buildClosedAnswer());
    }
    const verdict = this.#admission.takeVerdict(call.ticket);
    if (verdict !== undefined) return Promise.resolve(verdict);
    const known = this.#queue.get(call.ticket);
    if (known === undefined) return this.#acquireNew(call, now);
    known.call = call;
    return this.#waitForGrant(known, now);
  }

  /** Renews, returns and adopts leases, and takes withdrawn tickets out. */
  syncLeases(call: SyncCall): SyncAnswer {
    const now = this.#noteAlive();
    const holder = call.from.vm;
    for (const news of call.news) {
      this.#accounts.applyNews(news, { holder, now });
    }
    for (const ticket of call.withdrawn) this.#cancelTicket(ticket, now);
    this.#authority.noteAnnounced(holder, now);
    this.#endSettlingEarly(now);
    this.#grantAll(now);
    return {
      isOwner: true,
      preempt: this.#accounts.listPreempted(holder),
    };
  }

  /** Takes in a load report that was received `receivedAgeMs` ago. */
  noteLoad(upstream: VmId, report: LoadReport, receivedAgeMs: number): void {
    const now = this.#noteAlive();
    const replica = this.#replicas.get(upstream);
    replica?.noteReport(report, { ageMs: report.ageMs + receivedAgeMs, now });
    this.#grantAll(now);
  }

  /** Notes that `upstream` did not answer a poll. */
  noteLoadMissing(upstream: VmId): void {
    const replica = this.#replicas.get(upstream);
    if (replica !== undefined) replica.missedPolls++;
  }

  noteCacheEvents(upstream: VmId, events: readonly CacheEvent[]): void {
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
      room: settled ? this.#replicas.room : 0,
      slots: this.#replicas.slots,
      waitingByRank: this.#queue.countByRank(),
      lowestRank: Math.max(
        ledger.findLowestRank() ?? 0,
        this.#queue.findLowestRank() ?? 0,
      ),
      expectedWaitMs: this.#admission.computeLowestWait(),
      sequence: ++this.#summaries,
    };
  }

  /** Takes the queue and the ledger of the previous owner over. */
  takeHandOver(call: HandOverCall): void {
    const now = this.#noteAlive();
    for (const news of call.leases) {
      this.#accounts.applyNews(news, { holder: call.from.vm, now });
    }
    for (const waiting of call.waiters) this.#addHandedOver(waiting, now);
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
    const now = this.#getNow();
    for (const waiter of [...this.#queue.list()]) {
      this.#queue.remove(waiter, now);
      waiter.answer?.({ kind: "not_owner", owner: nextOwner });
    }
    this.#uncalled.clear();
  }

  #acquireNew(call: AcquireCall, now: number): Promise<AcquireAnswer> {
    const waiter = this.#factory.build(call, now);
    const refused = this.#admission.check(waiter, now);
    if (refused !== undefined) return Promise.resolve(refused);
    const crowding = this.#admission.findCrowding(waiter);
    if (crowding !== undefined) {
      const answer = this.#admission.buildFullAnswer(crowding);
      this.#settleWaiter(crowding, answer, now);
    }
    this.#queue.add(waiter, now);
    const answer = this.#waitForGrant(waiter, now);
    this.#dropVictims(now);
    return answer;
  }

  #waitForGrant(waiter: Waiter, now: number): Promise<AcquireAnswer> {
    const { clock } = this.#environment;
    // A repeated call answers the one before it: its sender has given it up.
    waiter.answer?.(this.#buildQueuedAnswer(waiter));
    const holdMs = Math.max(0, waiter.call.holdMs);
    waiter.renewBy = now + holdMs + TICKET_TTL_MS;
    this.#uncalled.delete(waiter);
    return new Promise((resolve) => {
      const cancel = clock.startTimer(holdMs, () => {
        waiter.answer?.(this.#buildQueuedAnswer(waiter));
      });
      waiter.answer = (answer) => {
        cancel();
        waiter.answer = undefined;
        if (answer.kind === "queued") this.#uncalled.add(waiter);
        resolve(answer);
      };
      this.#grantAll(now);
    });
  }

  #buildQueuedAnswer(waiter: Waiter): AcquireAnswer {
    return { kind: "queued", ...this.#admission.buildPlace(waiter) };
  }

  #addHandedOver(call: AcquireCall, now: number): void {
    const { ledger } = this.#accounts;
    const isKnown = this.#queue.get(call.ticket) !== undefined ||
      ledger.findByTicket(call.ticket) !== undefined ||
      ledger.isClosed(call.ticket, now);
    if (isKnown) return;
    const waiter = this.#factory.build(call, now);
    waiter.renewBy = now + TICKET_TTL_MS;
    this.#queue.add(waiter, now);
    this.#uncalled.add(waiter);
  }

  #cancelTicket(ticket: TicketId, now: number): void {
    const waiter = this.#queue.get(ticket);
    if (waiter !== undefined) {
      this.#drop(waiter, now);
      waiter.answer?.(this.#admission.buildClosedAnswer());
    }
    const lease = this.#accounts.ledger.findByTicket(ticket);
    if (lease !== undefined) this.#accounts.releaseTicket(lease, now);
    this.#accounts.ledger.noteClosed(ticket, now);
  }

  #drop(waiter: Waiter, now: number): void {
    this.#queue.remove(waiter, now);
    this.#uncalled.delete(waiter);
  }

  /** Answers a waiter for good, now or at its next call. */
  #settleWaiter(waiter: Waiter, answer: AcquireAnswer, now: number): void {
    this.#drop(waiter, now);
    if (waiter.answer === undefined) {
      this.#admission.putVerdict(waiter.ticket, answer);
    } else {
      waiter.answer(answer);
    }
  }

  #dropVictims(now: number): void {
    let victim = this.#admission.findVictim();
    while (victim !== undefined) {
      this.#settleWaiter(victim, this.#admission.buildShedAnswer(victim), now);
      victim = this.#admission.findVictim();
    }
  }

  /** Grants as long as a waiter and a free slot fit together. */
  #grantAll(now: number): void {
    if (this.#stopped || !this.#authority.isSettled(now)) return;
    const slots = this.#replicas.slots;
    this.#queue.addShare(now, slots);
    while (this.#queue.size > 0 && this.#replicas.hasOpening(now)) {
      let chosen: Replica | undefined;
      const waiter = this.#queue.findNext(now, {
        isOpen: (rank) => this.#isTierOpen(rank),
        accepts: (entry) => {
          if (!this.#isLengthOpen(entry, slots)) return false;
          chosen = this.#chooseReplica(entry, now);
          return chosen !== undefined;
        },
      });
      if (waiter === undefined || chosen === undefined) return;
      this.#grant(waiter, chosen, now);
    }
  }

  #grant(waiter: Waiter, replica: Replica, now: number): void {
    this.#queue.takeGranted(waiter, now);
    this.#uncalled.delete(waiter);
    const lease = this.#accounts.grant(waiter, replica, now);
    waiter.answer?.({ kind: "granted", lease });
  }

  #chooseReplica(waiter: Waiter, now: number): Replica | undefined {
    const wish = this.#buildWish(waiter);
    return chooseReplica(this.#replicas.list(), { wish, now });
  }

  #buildWish(waiter: Waiter): ReplicaWish {
    const { call } = waiter;
    return {
      model: call.model,
      adapter: call.adapter,
      prefixes: call.prefixes,
      avoid: call.avoid,
      mayProbe: call.idempotent && !waiter.isLong,
      prefixAffinity: this.#decisions.prefixAffinity,
    };
  }

  /** Whether the tier holds fewer slots than its cap. */
  #isTierOpen(rank: number): boolean {
    if (!this.#decisions.crowding) return true;
    const running = this.#accounts.ledger.countRank(rank);
    return running < this.#admission.getTierCap({ rank });
  }

  /** Whether the request leaves the reserve that long work cannot take. */
  #isLengthOpen(waiter: Waiter, slots: number): boolean {
    if (!waiter.isLong || !this.#decisions.crowding) return true;
    const reserve = Math.floor(SHORT_RESERVE * slots);
    return this.#accounts.ledger.longCount < Math.max(1, slots - reserve);
  }

  /** Takes a slot back for the first waiter, where that pays. */
  #preempt(now: number): void {
    const policy = this.#options.getSnapshot()?.policy;
    if (policy === undefined || !this.#decisions.preemption) return;
    const slots = this.#replicas.slots;
    const first = this.#queue.findFirstByTier(now);
    if (first === undefined || !this.#isTierOpen(first.rank)) return;
    const { ledger } = this.#accounts;
    if ((ledger.findLowestRank() ?? 0) <= first.rank) return;
    const wish = this.#buildWish(first);
    const victim = chooseVictim(
      {
        rank: first.rank,
        startBy: first.startBy,
        now,
        expectedWaitMs: this.#factory.meanSlotMs / Math.max(1, slots),
        returnMs: PREEMPT_RETURN_MS,
      },
      {
        policy,
        slots,
        leases: ledger.list(),
        computeRemainingMs: (lease) =>
          this.#accounts.computeRemainingMs(lease, now),
        isUseful: (lease) => {
          const replica = this.#replicas.get(lease.upstream);
          return replica !== undefined && !replica.ejected &&
            !replica.leaving && !wish.avoid.includes(replica.id) &&
            replica.hasModel(wish.model, wish.adapter);
        },
      },
    );
    if (victim === undefined) return;
    this.#accounts.preempt(victim);
    this.#environment.log.info("lease_preempted", {
      shard: this.shard,
      lease: victim.lease,
      peer: victim.upstream,
      class: victim.className,
      for_request: first.call.requestId,
      for_class: first.className,
    });
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
    this.#dropGone(now);
    if (!this.#authority.isSettled(now)) return;
    for (const waiter of this.#queue.takeHopeless(now)) {
      this.#settleWaiter(waiter, this.#admission.buildLateAnswer(waiter), now);
    }
    const expired = this.#accounts.closeExpired(now);
    if (expired.length > 0) {
      this.#environment.log.warn("leases_expired", {
        shard: this.shard,
        count: expired.length,
      });
    }
    this.#preempt(now);
    if (this.#ticks++ % UPKEEP_TICKS === 0) this.#runUpkeep(now);
    this.#grantAll(now);
  }

  /** Takes out tickets whose calls no longer come. */
  #dropGone(now: number): void {
    for (const waiter of this.#uncalled) {
      if (waiter.renewBy <= now) this.#drop(waiter, now);
    }
  }

  #runUpkeep(now: number): void {
    this.#accounts.noteOverdue(now);
    for (const change of this.#replicas.update(now)) {
      this.#environment.log.warn(`replica_${change.change}`, {
        shard: this.shard,
        peer: change.replica.id,
        why: change.why,
      });
    }
    this.#queue.dropIdle();
    this.#accounts.ledger.dropOldClosed(now);
    this.#admission.dropOldVerdicts();
  }

  #endSettlingEarly(now: number): void {
    const holders = this.#options.listHolders?.() ?? [];
    this.#authority.endEarly(holders, now);
  }

  /** The time now; after a pause the owner settles anew before it grants. */
  #noteAlive(): number {
    const now = this.#getNow();
    if (!this.#authority.noteAlive(now)) return now;
    // Renewals could not come in while the process stood still: leases that
    // ran out meanwhile are kept until their holders have had time to renew.
    this.#accounts.ledger.renewAll(this.#authority.settledAt);
    for (const waiter of this.#uncalled) {
      waiter.renewBy = Math.max(waiter.renewBy, now + TICKET_TTL_MS);
    }
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
