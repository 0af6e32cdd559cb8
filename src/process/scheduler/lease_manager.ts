/**
 * Opens, renews and settles a shard's leases, and learns from each.
 *
 * @module
 */
import { type LeaseId, type ShardId, toId, type VmId } from "../../ids.ts";
import type { LeaseUpdate, SlotLease } from "../peer_api.ts";
import type { Random } from "../random.ts";
import type { SchedulerFeatures } from "./scheduler_features.ts";
import { noteProbeDone, noteProbeFailed } from "./ejection.ts";
import {
  buildAnnouncedEntry,
  buildGrantedEntry,
  computeServedCost,
  toNews,
} from "./lease_entries.ts";
import { type LeaseEntry, LeaseLedger } from "./lease_ledger.ts";
import type { OutputLengths } from "./output_lengths.ts";
import type { Replica } from "./replica.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { Waiter } from "./waiter.ts";
import { UNKNOWN_RANK, type WaiterFactory } from "./waiter_factory.ts";

/** How long a renewed lease stands, in milliseconds. */
export const LEASE_TTL_MS = 6_000;
/**
 * How long a lease stands before its first renewal, in milliseconds. Shorter,
 * so that a grant whose answer was lost gives its slot back soon.
 */
export const INITIAL_LEASE_TTL_MS = 3_000;

/** What the accounts work on. */
export interface LeaseManagerOptions {
  shard: ShardId;
  random: Random;
  replicas: ReplicaSet;
  factory: WaiterFactory;
  lengths: OutputLengths;
  speed: ServiceTimes;
  features: SchedulerFeatures;
  /** Hears what a returned lease cost in the end, as fair sharing counts. */
  onClosed: (entry: LeaseEntry, cost: number) => void;
}

/** The leases of one shard. */
export class LeaseManager {
  readonly ledger = LeaseLedger.create();
  readonly #options: LeaseManagerOptions;
  readonly #prefix: string;
  readonly #preempted = new Set<LeaseEntry>();
  #counter = 0;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#prefix = options.random.nextHex(8);
  }

  static create(options: LeaseManagerOptions): LeaseManager {
    return new LeaseManager(options);
  }

  /** Opens a lease for `waiter` on `replica`. */
  grant(
    waiter: Waiter,
    options: { replica: Replica; chargedCost: number; now: number },
  ): SlotLease {
    const { replica, chargedCost, now } = options;
    const { enginePriority } = this.#options.features;
    const entry = buildGrantedEntry(waiter, {
      lease: this.#createLeaseId(),
      upstream: replica.id,
      chargedCost,
      priority: enginePriority ? waiter.rank : 0,
      expiresAt: now + INITIAL_LEASE_TTL_MS,
      now,
    });
    this.#open(entry, now);
    replica.cache.noteRouted(waiter.call.prefixes);
    replica.rate.take(1);
    if (replica.ejected) replica.probing = true;
    return this.buildSlotLease(entry);
  }

  /** The lease as its holder gets it. */
  buildSlotLease(entry: LeaseEntry): SlotLease {
    return {
      lease: entry.lease,
      shard: this.#options.shard,
      upstream: entry.upstream,
      ttlMs: INITIAL_LEASE_TTL_MS,
      priority: entry.priority,
      byOwner: true,
    };
  }

  /** Takes in what `holder` says of a lease; a repeat does no harm. */
  applyNews(
    news: LeaseUpdate,
    options: { holder: VmId; now: number },
  ): void {
    const { now } = options;
    this.#noteSignals(news, now);
    if (this.ledger.isClosed(news.lease, now)) return;
    const known = this.ledger.get(news.lease);
    if (known === undefined && news.state !== "running") {
      this.ledger.noteClosed(news.lease, now);
      this.ledger.noteClosed(news.ticket, now);
      return;
    }
    const entry = known ?? this.#addAnnounced(news, options);
    this.#noteProgress(entry, news, now);
    if (news.state === "running") {
      entry.holder = options.holder;
      entry.expiresAt = now + LEASE_TTL_MS;
      return;
    }
    this.#settle(entry, news, now);
  }

  /** Gives back the slot of a ticket whose caller went away. */
  releaseTicket(entry: LeaseEntry, now: number): void {
    this.#close(entry, now);
  }

  /** Closes the leases whose holders went silent; gives them. */
  closeExpired(now: number): LeaseEntry[] {
    const expired = this.ledger.takeExpired(now);
    for (const entry of expired) this.#noteClosed(entry, now);
    return expired;
  }

  /** Marks `entry` to be stopped by its holder. */
  preempt(entry: LeaseEntry): void {
    entry.preempted = true;
    this.#preempted.add(entry);
  }

  /** The leases that `holder` should stop. */
  listPreempted(holder: VmId): LeaseId[] {
    const leases: LeaseId[] = [];
    for (const entry of this.#preempted) {
      if (entry.holder === holder) leases.push(entry.lease);
    }
    return leases;
  }

  /** Every lease as its holder would announce it. */
  listNews(): LeaseUpdate[] {
    return [...this.ledger.list()].map(toNews);
  }

  /** Expected time in the slot still to come, in milliseconds. */
  computeRemainingMs(entry: LeaseEntry, now: number): number {
    const requestClass = this.#options.factory.findClass(entry);
    if (requestClass === undefined) return 0;
    const { length, service } = this.#options.factory.computeSize(
      {
        className: entry.className,
        workspace: entry.workspace,
        model: entry.modelKey === "" ? undefined : entry.modelKey,
        maxTokens: requestClass.maxOutputTokens,
        doneTokens: entry.doneTokens + entry.tokens,
      },
      { requestClass, now },
    );
    if (entry.modelKey === "") return service.totalMs - (now - entry.grantedAt);
    const isStarted = entry.firstTokenMs !== undefined;
    const left = length.tokens - entry.doneTokens - entry.tokens;
    if (left <= 0) return 0;
    return service.totalMs - (isStarted ? service.firstTokenMs : 0);
  }

  #createLeaseId(): LeaseId {
    const { shard } = this.#options;
    return toId<LeaseId>(`${shard}:${this.#prefix}:${this.#counter++}`);
  }

  #addAnnounced(
    news: LeaseUpdate,
    options: { holder: VmId; now: number },
  ): LeaseEntry {
    const { factory } = this.#options;
    const requestClass = factory.findClass(news);
    const entry = buildAnnouncedEntry(news, {
      holder: options.holder,
      rank: requestClass === undefined
        ? UNKNOWN_RANK
        : factory.getRank(requestClass),
      weight: factory.getWeight(news.workspace),
      expiresAt: options.now + LEASE_TTL_MS,
      now: options.now,
    });
    this.#open(entry, options.now);
    return entry;
  }

  #noteSignals(news: LeaseUpdate, now: number): void {
    const { upstream, rateLimit, backOffMs = 0 } = news;
    const replica = this.#options.replicas.get(upstream);
    replica?.noteBackOff(now + backOffMs);
    if (rateLimit === undefined) return;
    const { requestsPerS = Infinity, ageMs } = rateLimit;
    replica?.rate.noteLimit(requestsPerS, now - ageMs);
  }

  #noteProgress(entry: LeaseEntry, news: LeaseUpdate, now: number): void {
    const replica = this.#options.replicas.get(entry.upstream);
    const isNewer = news.tokens > entry.tokens;
    entry.tokens = Math.max(entry.tokens, news.tokens);
    if (entry.firstTokenMs === undefined && news.firstTokenMs !== undefined) {
      entry.firstTokenMs = news.firstTokenMs;
      const target = this.#findTarget(entry, "firstTokenMs");
      replica?.latency.noteFirstToken(news.firstTokenMs / target);
    }
    if (news.betweenTokensMs === undefined || !isNewer) return;
    entry.betweenTokensMs = news.betweenTokensMs;
    const target = this.#findTarget(entry, "betweenTokensMs");
    replica?.latency.noteBetweenTokens(news.betweenTokensMs / target);
    replica?.limit.noteRatio(entry.className, {
      ratio: news.betweenTokensMs / target,
      now,
    });
    replica?.limit.update(now);
  }

  #settle(entry: LeaseEntry, news: LeaseUpdate, now: number): void {
    const replica = this.#options.replicas.get(entry.upstream);
    if (news.state === "failed") replica?.latency.noteFailure();
    if (news.state === "done") {
      replica?.latency.noteSuccess();
      this.#recordFinished(entry, now);
    }
    this.#close(entry, now, { isFailed: news.state === "failed" });
    if (!entry.isOwnGrant) return;
    const cost = news.state === "unused" ? 0 : computeServedCost(entry);
    this.#options.onClosed(entry, cost);
  }

  #recordFinished(entry: LeaseEntry, now: number): void {
    if (!entry.isOwnGrant) return;
    const { lengths, speed } = this.#options;
    if (entry.modelKey !== "") {
      lengths.record(entry.className, {
        workspace: entry.workspace,
        tokens: entry.doneTokens + entry.tokens,
      });
    }
    speed.record({
      className: entry.className,
      firstTokenMs: entry.firstTokenMs,
      betweenTokensMs: entry.betweenTokensMs,
      slotMs: now - entry.grantedAt,
      now,
    });
  }

  #open(entry: LeaseEntry, now: number): void {
    this.ledger.add(entry);
    this.#updateReplica(entry.upstream, now);
  }

  #close(
    entry: LeaseEntry,
    now: number,
    options: { isFailed: boolean } = { isFailed: false },
  ): void {
    this.ledger.remove(entry.lease, now);
    this.#noteClosed(entry, now, options);
  }

  #noteClosed(
    entry: LeaseEntry,
    now: number,
    options: { isFailed: boolean } = { isFailed: false },
  ): void {
    this.#preempted.delete(entry);
    this.#updateReplica(entry.upstream, now);
    const replica = this.#options.replicas.get(entry.upstream);
    if (replica === undefined || !replica.probing) return;
    if (options.isFailed) noteProbeFailed(replica, now);
    else noteProbeDone(replica, now);
  }

  #updateReplica(upstream: VmId, now: number): void {
    const replica = this.#options.replicas.get(upstream);
    replica?.setInUse(this.ledger.countInUse(upstream), now);
  }

  #findTarget(
    entry: LeaseEntry,
    target: "firstTokenMs" | "betweenTokensMs",
  ): number {
    const requestClass = this.#options.factory.findClass(entry);
    return Math.max(1, requestClass?.targets[target] ?? Infinity);
  }
}
