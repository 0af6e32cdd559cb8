/**
 * Opens, renews and closes a shard's leases, and records their durations,
 * output lengths and outcomes.
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
  toLeaseUpdate,
} from "./lease_entries.ts";
import { type LeaseEntry, LeaseLedger } from "./lease_ledger.ts";
import type { OutputLengths } from "./output_lengths.ts";
import type { Replica } from "./replica.ts";
import type { ReplicaSet } from "./replica_set.ts";
import type { ServiceTimes } from "./service_times.ts";
import type { Waiter } from "./waiter.ts";
import { UNKNOWN_RANK, type WaiterFactory } from "./waiter_factory.ts";

/** Time to live of a renewed lease, in milliseconds. */
export const LEASE_TTL_MS = 6_000;
/**
 * Time to live before the first renewal, in milliseconds. It is shorter so that
 * the slot is free again soon if the answer to the grant was lost.
 */
export const INITIAL_LEASE_TTL_MS = 3_000;

/** Options of a `LeaseManager`. */
export interface LeaseManagerOptions {
  shard: ShardId;
  random: Random;
  replicas: ReplicaSet;
  factory: WaiterFactory;
  lengths: OutputLengths;
  serviceTimes: ServiceTimes;
  features: SchedulerFeatures;
  /** Called with the final fair-share cost of a returned lease. */
  onClosed: (entry: LeaseEntry, cost: number) => void;
}

/** The leases of one shard. */
export class LeaseManager {
  readonly ledger = LeaseLedger.create();
  readonly #options: LeaseManagerOptions;
  readonly #leaseIdPrefix: string;
  readonly #preempted = new Set<LeaseEntry>();
  #leaseCount = 0;

  constructor(options: LeaseManagerOptions) {
    this.#options = options;
    this.#leaseIdPrefix = options.random.nextHex(8);
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
    replica.limiter.take(1);
    if (replica.ejected) replica.probing = true;
    return this.buildSlotLease(entry);
  }

  /** Builds the lease that is sent to its holder. */
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

  /** Applies a holder's update of a lease. Idempotent. */
  applyUpdate(
    update: LeaseUpdate,
    options: { holder: VmId; now: number },
  ): void {
    const { now } = options;
    this.#noteSignals(update, now);
    if (this.ledger.isClosed(update.lease, now)) return;
    const known = this.ledger.get(update.lease);
    if (known === undefined && update.state !== "running") {
      this.ledger.noteClosed(update.lease, now);
      this.ledger.noteClosed(update.ticket, now);
      return;
    }
    const entry = known ?? this.#addAnnounced(update, options);
    this.#noteProgress(entry, update, now);
    if (update.state === "running") {
      entry.holder = options.holder;
      entry.expiresAt = now + LEASE_TTL_MS;
      return;
    }
    this.#closeFinished(entry, update, now);
  }

  /** Releases the slot of a ticket whose caller disconnected. */
  releaseTicket(entry: LeaseEntry, now: number): void {
    this.#close(entry, now);
  }

  /** Closes and returns the leases that their holders did not renew in time. */
  closeExpired(now: number): LeaseEntry[] {
    const expired = this.ledger.removeExpired(now);
    for (const entry of expired) this.#noteClosed(entry, now);
    return expired;
  }

  /** Marks `entry` for its holder to stop. */
  preempt(entry: LeaseEntry): void {
    entry.preempted = true;
    this.#preempted.add(entry);
  }

  /** Lists the leases that `holder` must stop. */
  listPreempted(holder: VmId): LeaseId[] {
    const leases: LeaseId[] = [];
    for (const entry of this.#preempted) {
      if (entry.holder === holder) leases.push(entry.lease);
    }
    return leases;
  }

  /** Lists all leases as updates that their holders would send. */
  listUpdates(): LeaseUpdate[] {
    return [...this.ledger.list()].map(toLeaseUpdate);
  }

  /** Expected time until the slot is released, in milliseconds. */
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
    return toId<LeaseId>(
      `${shard}:${this.#leaseIdPrefix}:${this.#leaseCount++}`,
    );
  }

  #addAnnounced(
    update: LeaseUpdate,
    options: { holder: VmId; now: number },
  ): LeaseEntry {
    const { factory } = this.#options;
    const requestClass = factory.findClass(update);
    const entry = buildAnnouncedEntry(update, {
      holder: options.holder,
      rank: requestClass === undefined
        ? UNKNOWN_RANK
        : factory.getRank(requestClass),
      weight: factory.getWeight(update.workspace),
      expiresAt: options.now + LEASE_TTL_MS,
      now: options.now,
    });
    this.#open(entry, options.now);
    return entry;
  }

  #noteSignals(update: LeaseUpdate, now: number): void {
    const { upstream, rateLimit, backOffMs = 0 } = update;
    const replica = this.#options.replicas.get(upstream);
    replica?.noteBackOff(now + backOffMs);
    if (rateLimit === undefined) return;
    const { requestsPerS = Infinity, ageMs } = rateLimit;
    replica?.limiter.noteLimit(requestsPerS, now - ageMs);
  }

  #noteProgress(entry: LeaseEntry, update: LeaseUpdate, now: number): void {
    const replica = this.#options.replicas.get(entry.upstream);
    const isNewer = update.tokens > entry.tokens;
    entry.tokens = Math.max(entry.tokens, update.tokens);
    if (entry.firstTokenMs === undefined && update.firstTokenMs !== undefined) {
      entry.firstTokenMs = update.firstTokenMs;
      const target = this.#findTarget(entry, "firstTokenMs");
      replica?.latency.noteFirstToken(update.firstTokenMs / target);
    }
    if (update.betweenTokensMs === undefined || !isNewer) return;
    entry.betweenTokensMs = update.betweenTokensMs;
    const target = this.#findTarget(entry, "betweenTokensMs");
    replica?.latency.noteBetweenTokens(update.betweenTokensMs / target);
    replica?.limit.noteRatio(entry.className, {
      ratio: update.betweenTokensMs / target,
      now,
    });
    replica?.limit.update(now);
  }

  #closeFinished(entry: LeaseEntry, update: LeaseUpdate, now: number): void {
    const replica = this.#options.replicas.get(entry.upstream);
    if (update.state === "failed") replica?.latency.noteFailure();
    if (update.state === "done") {
      replica?.latency.noteSuccess();
      this.#recordFinished(entry, now);
    }
    this.#close(entry, now, { isFailed: update.state === "failed" });
    if (!entry.isOwnGrant) return;
    const cost = update.state === "unused" ? 0 : computeServedCost(entry);
    this.#options.onClosed(entry, cost);
  }

  #recordFinished(entry: LeaseEntry, now: number): void {
    if (!entry.isOwnGrant) return;
    const { lengths, serviceTimes } = this.#options;
    if (entry.modelKey !== "") {
      lengths.record(entry.className, {
        workspace: entry.workspace,
        tokens: entry.doneTokens + entry.tokens,
      });
    }
    serviceTimes.record({
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
