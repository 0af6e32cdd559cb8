/**
 * Reports the leases that this VM holds in one shard to the shard's owner, in
 * batches.
 *
 * @module
 */
import type { LeaseId, ShardId, TicketId, VmId } from "../../ids.ts";
import type { CancelTimer } from "../clock.ts";
import type { Environment } from "../environment.ts";
import { withTimeout } from "../with_timeout.ts";
import type { MembershipView } from "../membership_view.ts";
import type { PeerApi, SyncAnswer, SyncCall } from "../peer_api.ts";
import type { HeldSlot } from "./held_slot.ts";
import { LEASE_TTL_MS } from "./lease_manager.ts";
import { buildShardKey } from "./shards.ts";

/** Interval between checks for leases to report, in milliseconds. */
export const SYNC_INTERVAL_MS = 500;
/** Renewal interval of a running lease, in milliseconds. */
const RENEWAL_INTERVAL_MS = 1_500;
/** How long returns to another VM are collected into a batch. */
const RETURN_BATCH_DELAY_MS = 10;
const SYNC_DEADLINE_MS = 1_000;
/**
 * Returns kept while no owner answers. Further ones are dropped: the owner
 * frees their slots when the leases expire.
 */
const MAX_QUEUED_RETURNS = 10_000;
const MAX_UPDATES_PER_CALL = 500;

/** Options of a `LeaseSync`. */
export interface LeaseSyncOptions {
  environment: Environment;
  membership: MembershipView;
  getLocal: () => PeerApi;
  shard: ShardId;
}

/** Synchronizes one shard's leases on this VM with the shard's owner. */
export class LeaseSync {
  readonly #options: LeaseSyncOptions;
  readonly #held = new Map<LeaseId, HeldSlot>();
  #returns: HeldSlot[] = [];
  #withdrawn: TicketId[] = [];
  /** The owner that all leases have been reported to. */
  #informedOwner: VmId | undefined;
  /** Whether a report is due even if this VM holds no lease. */
  #mustAnnounce = false;
  #isSyncing = false;
  #isSyncRequested = false;
  #cancelFlush: CancelTimer | undefined;
  #usedAt: number;

  constructor(options: LeaseSyncOptions) {
    this.#options = options;
    this.#usedAt = options.environment.clock.now();
  }

  static create(options: LeaseSyncOptions): LeaseSync {
    return new LeaseSync(options);
  }

  /** Time of this VM's last use of the shard. */
  get usedAt(): number {
    return this.#usedAt;
  }

  get isIdle(): boolean {
    return this.#held.size === 0 && this.#returns.length === 0 &&
      this.#withdrawn.length === 0 && !this.#mustAnnounce;
  }

  add(slot: HeldSlot): void {
    this.#usedAt = this.#options.environment.clock.now();
    this.#held.set(slot.lease, slot);
  }

  /** Queues a lease to be returned, without delay if this VM is the owner. */
  addReturn(slot: HeldSlot): void {
    this.#held.delete(slot.lease);
    if (this.#returns.length < MAX_QUEUED_RETURNS) this.#returns.push(slot);
    this.#flushSoon();
  }

  addWithdrawn(ticket: TicketId): void {
    this.#withdrawn.push(ticket);
    this.#flushSoon();
  }

  /** Reports all leases, possibly none, to a new owner. */
  announce(): void {
    this.#mustAnnounce = true;
    void this.run();
  }

  /** Calls the owner if there is anything to report. */
  async run(): Promise<void> {
    if (this.#isSyncing) {
      this.#isSyncRequested = true;
      return;
    }
    this.#isSyncing = true;
    try {
      do {
        this.#isSyncRequested = false;
        await this.#syncOnce();
      } while (this.#isSyncRequested);
    } finally {
      this.#isSyncing = false;
    }
  }

  async #syncOnce(): Promise<void> {
    const owner = this.#findOwner();
    if (owner === undefined) return;
    const { vm, incarnation, clock } = this.#options.environment;
    const sentAt = clock.now();
    const isNew = owner !== this.#informedOwner;
    const running = this.#listDueLeases(sentAt, isNew);
    const returns = this.#returns.slice(0, MAX_UPDATES_PER_CALL);
    const withdrawn = this.#withdrawn.slice(0, MAX_UPDATES_PER_CALL);
    const isEmpty = running.length + returns.length + withdrawn.length === 0;
    if (isEmpty && !this.#mustAnnounce) return;
    const answer = await this.#send(owner, {
      from: { vm, incarnation },
      shard: this.#options.shard,
      // Built for each call, because the ages in an update are relative to the
      // time of sending.
      news: [...running, ...returns].map((slot) => slot.buildUpdate()),
      withdrawn,
    });
    if (answer === undefined || !answer.isOwner) {
      this.#informedOwner = undefined;
      return;
    }
    this.#informedOwner = owner;
    this.#mustAnnounce = false;
    this.#returns.splice(0, returns.length);
    this.#withdrawn.splice(0, withdrawn.length);
    for (const slot of running) slot.renew(sentAt, LEASE_TTL_MS);
    for (const lease of answer.preempt) this.#held.get(lease)?.preempt();
    if (this.#returns.length > 0) this.#isSyncRequested = true;
  }

  /**
   * Lists the leases to renew. A new owner gets all of them, because it would
   * otherwise consider their slots free.
   */
  #listDueLeases(now: number, isNew: boolean): HeldSlot[] {
    const held = [...this.#held.values()];
    if (isNew) return held;
    return held.filter((slot) => slot.isRenewalDue(now, RENEWAL_INTERVAL_MS));
  }

  async #send(owner: VmId, call: SyncCall): Promise<SyncAnswer | undefined> {
    const { environment, getLocal } = this.#options;
    const peer = owner === environment.vm
      ? getLocal()
      : environment.peers.getPeer(owner);
    try {
      return await withTimeout(
        peer.syncLeases(call),
        SYNC_DEADLINE_MS,
        environment.clock,
      );
    } catch {
      // The next round repeats the report to the owner of that time.
      return undefined;
    }
  }

  #findOwner(): VmId | undefined {
    const { membership, shard } = this.#options;
    return membership.findOwner(buildShardKey(shard));
  }

  #flushSoon(): void {
    this.#usedAt = this.#options.environment.clock.now();
    if (this.#cancelFlush !== undefined) return;
    const isLocal = this.#findOwner() === this.#options.environment.vm;
    this.#cancelFlush = this.#options.environment.clock.startTimer(
      isLocal ? 0 : RETURN_BATCH_DELAY_MS,
      () => {
        this.#cancelFlush = undefined;
        void this.run();
      },
    );
  }
}
