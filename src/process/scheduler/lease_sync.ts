/**
 * Tells a shard's owner of the leases that this VM holds, in batches.
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

/** How often news is looked for, in milliseconds. */
export const SYNC_EVERY_MS = 500;
/** How often a running lease is renewed, in milliseconds. */
const RENEW_EVERY_MS = 1_500;
/** How long returns to another VM wait for others, in milliseconds. */
const RETURN_DELAY_MS = 10;
const SYNC_DEADLINE_MS = 1_000;
/** Returns kept while no owner answers; an owner's leases lapse by then. */
const MAX_RETURNS = 10_000;
/** Leases named in one call. */
const MAX_NEWS = 500;

/** What the sync of a shard needs. */
export interface LeaseSyncOptions {
  environment: Environment;
  membership: MembershipView;
  getLocal: () => PeerApi;
  shard: ShardId;
}

/** One shard's leases on this VM. */
export class LeaseSync {
  readonly #options: LeaseSyncOptions;
  readonly #held = new Map<LeaseId, HeldSlot>();
  #returns: HeldSlot[] = [];
  #withdrawn: TicketId[] = [];
  /** The owner that has been told of all leases. */
  #knownOwner: VmId | undefined;
  /** An owner waits for word of this VM, also that it holds nothing. */
  #isAwaited = false;
  #isSyncing = false;
  #isWanted = false;
  #cancelFlush: CancelTimer | undefined;
  #usedAt: number;

  constructor(options: LeaseSyncOptions) {
    this.#options = options;
    this.#usedAt = options.environment.clock.now();
  }

  static create(options: LeaseSyncOptions): LeaseSync {
    return new LeaseSync(options);
  }

  /** When the shard was last used by this VM. */
  get usedAt(): number {
    return this.#usedAt;
  }

  get isIdle(): boolean {
    return this.#held.size === 0 && this.#returns.length === 0 &&
      this.#withdrawn.length === 0 && !this.#isAwaited;
  }

  add(slot: HeldSlot): void {
    this.#usedAt = this.#options.environment.clock.now();
    this.#held.set(slot.lease, slot);
  }

  /** Gives a lease back, at once where this VM is the owner. */
  addReturn(slot: HeldSlot): void {
    this.#held.delete(slot.lease);
    if (this.#returns.length < MAX_RETURNS) this.#returns.push(slot);
    this.#flushSoon();
  }

  addWithdrawn(ticket: TicketId): void {
    this.#withdrawn.push(ticket);
    this.#flushSoon();
  }

  /** Tells a new owner of all leases, or that there are none. */
  announce(): void {
    this.#isAwaited = true;
    void this.run();
  }

  /** One call to the owner, if there is anything to say. */
  async run(): Promise<void> {
    if (this.#isSyncing) {
      this.#isWanted = true;
      return;
    }
    this.#isSyncing = true;
    try {
      do {
        this.#isWanted = false;
        await this.#syncOnce();
      } while (this.#isWanted);
    } finally {
      this.#isSyncing = false;
    }
  }

  async #syncOnce(): Promise<void> {
    const owner = this.#findOwner();
    if (owner === undefined) return;
    const { vm, incarnation, clock } = this.#options.environment;
    const sentAt = clock.now();
    const isNew = owner !== this.#knownOwner;
    const running = this.#listDue(sentAt, isNew);
    const returns = this.#returns.slice(0, MAX_NEWS);
    const withdrawn = this.#withdrawn.slice(0, MAX_NEWS);
    const nothing = running.length + returns.length + withdrawn.length === 0;
    if (nothing && !this.#isAwaited) return;
    const answer = await this.#send(owner, {
      from: { vm, incarnation },
      shard: this.#options.shard,
      // Built now: what a return says of times is counted from its sending.
      news: [...running, ...returns].map((slot) => slot.buildNews()),
      withdrawn,
    });
    if (answer === undefined || !answer.isOwner) {
      this.#knownOwner = undefined;
      return;
    }
    this.#knownOwner = owner;
    this.#isAwaited = false;
    this.#returns.splice(0, returns.length);
    this.#withdrawn.splice(0, withdrawn.length);
    for (const slot of running) slot.renew(sentAt, LEASE_TTL_MS);
    for (const lease of answer.preempt) this.#held.get(lease)?.preempt();
    if (this.#returns.length > 0) this.#isWanted = true;
  }

  /**
   * The leases to renew: all for an owner that has not been told of them, or
   * it would take their slots for free ones.
   */
  #listDue(now: number, isNew: boolean): HeldSlot[] {
    const held = [...this.#held.values()];
    if (isNew) return held;
    return held.filter((slot) => slot.isDue(now, RENEW_EVERY_MS));
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
      // The owner is told again at the next round, or the next owner is.
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
      isLocal ? 0 : RETURN_DELAY_MS,
      () => {
        this.#cancelFlush = undefined;
        void this.run();
      },
    );
  }
}
