/**
 * The shard owner's record of slots in use, which is authoritative for load.
 *
 * @module
 */
import type {
  ClassName,
  LeaseId,
  TicketId,
  VmId,
  WorkspaceName,
} from "../../ids.ts";

/** How long the id of a closed lease or ticket is kept, in milliseconds. */
const CLOSED_TTL_MS = 15_000;

/** One slot in use. */
export interface LeaseEntry {
  readonly lease: LeaseId;
  readonly ticket: TicketId;
  /** The entry VM that holds it. */
  holder: VmId;
  readonly upstream: VmId;
  readonly className: ClassName;
  readonly workspace: WorkspaceName;
  readonly rank: number;
  readonly weight: number;
  readonly modelKey: string;
  readonly idempotent: boolean;
  readonly isLong: boolean;
  /** Granted ahead of a waiting request of a higher tier. */
  readonly isPromoted: boolean;
  /** False for a lease granted by another owner or from a VM's local share. */
  readonly isOwnGrant: boolean;
  /** Tokens delivered by earlier attempts. */
  readonly doneTokens: number;
  readonly promptTokens: number;
  readonly grantedAt: number;
  /** Deadline of the request; infinite if unknown. */
  readonly deadlineAt: number;
  /** Cost charged to fair sharing at the grant. */
  readonly chargedCost: number;
  readonly expectedTokens: number;
  /** Priority passed to the engine; repeated in answers to repeated calls. */
  readonly priority: number;
  expiresAt: number;
  tokens: number;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  /** The holder has been asked to stop. */
  preempted: boolean;
}

/** Leases by id and by ticket, with the ids of recently closed ones. */
export class LeaseLedger {
  readonly #leases = new Map<LeaseId, LeaseEntry>();
  readonly #byTicket = new Map<TicketId, LeaseEntry>();
  readonly #inUse = new Map<VmId, number>();
  readonly #runningByRank = new Map<number, number>();
  readonly #closed = new Map<string, number>();
  #long = 0;
  #promoted = 0;

  static create(): LeaseLedger {
    return new LeaseLedger();
  }

  get size(): number {
    return this.#leases.size;
  }

  /** Running leases of long requests. */
  get longCount(): number {
    return this.#long;
  }

  /** Running leases that were granted ahead of a higher tier. */
  get promotedCount(): number {
    return this.#promoted;
  }

  get(lease: LeaseId): LeaseEntry | undefined {
    return this.#leases.get(lease);
  }

  findByTicket(ticket: TicketId): LeaseEntry | undefined {
    return this.#byTicket.get(ticket);
  }

  list(): IterableIterator<LeaseEntry> {
    return this.#leases.values();
  }

  countInUse(upstream: VmId): number {
    return this.#inUse.get(upstream) ?? 0;
  }

  countAtRank(rank: number): number {
    return this.#runningByRank.get(rank) ?? 0;
  }

  /** Counts running leases of tiers above `rank`. */
  countAboveRank(rank: number): number {
    let count = 0;
    for (const [other, running] of this.#runningByRank) {
      if (other < rank) count += running;
    }
    return count;
  }

  /** Finds the lowest running tier (largest rank); undefined if none runs. */
  findLowestRank(): number | undefined {
    let lowest: number | undefined;
    for (const [rank, running] of this.#runningByRank) {
      if (running > 0 && (lowest === undefined || rank > lowest)) lowest = rank;
    }
    return lowest;
  }

  add(entry: LeaseEntry): void {
    this.#leases.set(entry.lease, entry);
    this.#byTicket.set(entry.ticket, entry);
    this.#updateCounts(entry, 1);
  }

  /** Removes `lease` and records it and its ticket as closed. */
  remove(lease: LeaseId, now: number): LeaseEntry | undefined {
    const entry = this.#leases.get(lease);
    if (entry === undefined) return undefined;
    this.#leases.delete(lease);
    if (this.#byTicket.get(entry.ticket) === entry) {
      this.#byTicket.delete(entry.ticket);
    }
    this.#updateCounts(entry, -1);
    this.noteClosed(lease, now);
    this.noteClosed(entry.ticket, now);
    return entry;
  }

  /**
   * Records a lease or ticket as closed. Calls can be delayed or repeated:
   * without this record a late renewal would restore a returned lease, and a
   * late acquire would take a slot that no caller uses. Either would keep the
   * slot occupied until the lease expires.
   */
  noteClosed(id: LeaseId | TicketId, now: number): void {
    this.#closed.set(id, now + CLOSED_TTL_MS);
  }

  isClosed(id: LeaseId | TicketId, now: number): boolean {
    const until = this.#closed.get(id);
    return until !== undefined && until > now;
  }

  /** Removes and returns the expired leases. */
  removeExpired(now: number): LeaseEntry[] {
    const expired: LeaseEntry[] = [];
    for (const entry of this.#leases.values()) {
      if (entry.expiresAt <= now) expired.push(entry);
    }
    for (const entry of expired) this.remove(entry.lease, now);
    return expired;
  }

  dropOldClosed(now: number): void {
    // Map entries are in insertion order, so the oldest come first.
    for (const [id, until] of this.#closed) {
      if (until > now) return;
      this.#closed.delete(id);
    }
  }

  #updateCounts(entry: LeaseEntry, change: number): void {
    const inUse = this.countInUse(entry.upstream) + change;
    if (inUse === 0) this.#inUse.delete(entry.upstream);
    else this.#inUse.set(entry.upstream, inUse);
    const running = this.countAtRank(entry.rank) + change;
    if (running === 0) this.#runningByRank.delete(entry.rank);
    else this.#runningByRank.set(entry.rank, running);
    if (entry.isLong) this.#long += change;
    if (entry.isPromoted) this.#promoted += change;
  }
}
