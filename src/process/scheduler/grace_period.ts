/**
 * Whether an owner may grant now.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";

/**
 * How long a new owner grants nothing, in milliseconds. Entry VMs announce all
 * running leases when they see a new owner, and renew each within
 * `RENEW_EVERY_MS`, so in this time each that can reach the owner has named
 * every lease that it holds.
 */
const SETTLE_MS = 2_000;
/** The least settling, even when every entry VM has announced. */
const MIN_SETTLE_MS = 100;
/** A gap of the monotonic clock that counts as a pause, in milliseconds. */
const OWNER_PAUSE_MS = 1_000;

/**
 * Guards grants after a takeover and after a pause of this process.
 *
 * A new owner does not know which slots are in use, and one that was paused
 * may have been replaced meanwhile. Granting at once would give slots out
 * twice, which shows as replicas with more requests than slots. Until the
 * entry VMs have announced their running leases nothing is granted.
 */
export class GracePeriod {
  #settledAt: number;
  #settlingSince: number;
  #seenAt: number;
  #mayEndEarly = true;
  readonly #announced = new Set<VmId>();

  constructor(now: number) {
    this.#settlingSince = now;
    this.#settledAt = now + SETTLE_MS;
    this.#seenAt = now;
  }

  static create(now: number): GracePeriod {
    return new GracePeriod(now);
  }

  /** Until when nothing is granted. */
  get settledAt(): number {
    return this.#settledAt;
  }

  /** Notes that the process runs; true when a pause was found. */
  noteAlive(now: number): boolean {
    const gap = now - this.#seenAt;
    this.#seenAt = now;
    if (gap < OWNER_PAUSE_MS) return false;
    this.#settlingSince = now;
    this.#settledAt = now + SETTLE_MS;
    this.#announced.clear();
    // The entry VMs may not have noticed the pause, so their next calls need
    // not name all leases.
    this.#mayEndEarly = false;
    return true;
  }

  /** Notes that `holder` has announced its leases since settling began. */
  noteAnnounced(holder: VmId, now: number): void {
    if (now < this.#settledAt) this.#announced.add(holder);
  }

  /** Ends settling early once all of `holders` have announced. */
  endEarly(holders: readonly VmId[], now: number): void {
    if (!this.#mayEndEarly || now >= this.#settledAt) return;
    if (holders.length === 0) return;
    if (now < this.#settlingSince + MIN_SETTLE_MS) return;
    if (holders.every((holder) => this.#announced.has(holder))) {
      this.#settledAt = now;
    }
  }

  /** Ends settling: the previous owner has handed its whole ledger over. */
  endSettling(now: number): void {
    this.#settledAt = Math.min(this.#settledAt, now);
  }

  isSettled(now: number): boolean {
    return now >= this.#settledAt;
  }
}
