/**
 * The owner's account of the slots that it granted: the truth about load.
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

/** How long a closed lease or ticket is remembered, in milliseconds. */
const REMEMBER_MS = 15_000;

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
  /** It went before a higher tier that waited. */
  readonly isPromoted: boolean;
  /** False for a lease that another owner or a local share granted. */
  readonly isOwnGrant: boolean;
  /** Tokens that an earlier try had delivered. */
  readonly doneTokens: number;
  readonly promptTokens: number;
  readonly grantedAt: number;
  /** Until when the request should end; infinite where not known. */
  readonly deadlineAt: number;
  /** What fair sharing counted at the grant. */
  readonly chargedCost: number;
  readonly expectedTokens: number;
  /** The engine's priority, repeated to a holder that asks again. */
  readonly priority: number;
  expiresAt: number;
  tokens: number;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  /** The holder has been told to stop. */
  preempted: boolean;
}

/** Leases by id and ticket, with memory of those closed lately. */
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

  /** Running leases of long work. */
  get longCount(): number {
    return this.#long;
  }

  /** Running leases that went before a higher tier. */
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

  /** Running leases of tiers above `rank`. */
  countAboveRank(rank: number): number {
    let count = 0;
    for (const [other, running] of this.#runningByRank) {
      if (other < rank) count += running;
    }
    return count;
  }

  /** The largest rank that runs; undefined when nothing runs. */
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
    this.#count(entry, 1);
  }

  /** Takes `lease` out and remembers that it is closed. */
  remove(lease: LeaseId, now: number): LeaseEntry | undefined {
    const entry = this.#leases.get(lease);
    if (entry === undefined) return undefined;
    this.#leases.delete(lease);
    if (this.#byTicket.get(entry.ticket) === entry) {
      this.#byTicket.delete(entry.ticket);
    }
    this.#count(entry, -1);
    this.noteClosed(lease, now);
    this.noteClosed(entry.ticket, now);
    return entry;
  }

  /**
   * Remembers a closed lease or ticket. Calls can come late or twice: without
   * this a late renewal would bring a returned lease back, and a late acquire
   * would take a slot that nobody waits for. Either shows as a slot that is in
   * use until its lease runs out.
   */
  noteClosed(id: LeaseId | TicketId, now: number): void {
    this.#closed.set(id, now + REMEMBER_MS);
  }

  isClosed(id: LeaseId | TicketId, now: number): boolean {
    const until = this.#closed.get(id);
    return until !== undefined && until > now;
  }

  /** Removes and gives the leases that ran out. */
  takeExpired(now: number): LeaseEntry[] {
    const expired: LeaseEntry[] = [];
    for (const entry of this.#leases.values()) {
      if (entry.expiresAt <= now) expired.push(entry);
    }
    for (const entry of expired) this.remove(entry.lease, now);
    return expired;
  }

  dropOldClosed(now: number): void {
    // A map lists its keys in order of insertion, the oldest first.
    for (const [id, until] of this.#closed) {
      if (until > now) return;
      this.#closed.delete(id);
    }
  }

  #count(entry: LeaseEntry, change: number): void {
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
