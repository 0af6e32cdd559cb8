/**
 * The grace period in which a shard owner grants no slots.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";

/**
 * Length of the grace period, in milliseconds. Entry VMs announce all running
 * leases when they see a new owner, and renew each at least once per
 * `RENEWAL_INTERVAL_MS` (lease_sync.ts). The grace period is longer than that,
 * so that every VM that can reach the owner has reported all its leases by its
 * end.
 */
const GRACE_PERIOD_MS = 2_000;
/** Minimum length, even if every entry VM has announced its leases. */
const MIN_GRACE_PERIOD_MS = 100;
/** Shortest gap of the monotonic clock that counts as a pause. */
const MIN_PAUSE_MS = 1_000;

/**
 * Delays grants after a takeover and after a pause of this process.
 *
 * A new owner does not know which slots are in use, and a paused owner may have
 * been replaced meanwhile. Granting immediately would grant slots twice and
 * give replicas more requests than they have slots. Nothing is granted until
 * the entry VMs have announced their running leases.
 */
export class GracePeriod {
  #endsAt: number;
  #startedAt: number;
  #lastActiveAt: number;
  #mayEndEarly = true;
  readonly #announced = new Set<VmId>();

  constructor(now: number) {
    this.#startedAt = now;
    this.#endsAt = now + GRACE_PERIOD_MS;
    this.#lastActiveAt = now;
  }

  static create(now: number): GracePeriod {
    return new GracePeriod(now);
  }

  /** Time at which grants begin. */
  get endsAt(): number {
    return this.#endsAt;
  }

  /**
   * Must be called regularly. A long gap since the last call means that the
   * process was paused: the grace period starts again and the result is true.
   */
  checkPause(now: number): boolean {
    const gap = now - this.#lastActiveAt;
    this.#lastActiveAt = now;
    if (gap < MIN_PAUSE_MS) return false;
    this.#startedAt = now;
    this.#endsAt = now + GRACE_PERIOD_MS;
    this.#announced.clear();
    // Entry VMs that did not notice the pause do not report all leases in their
    // next call.
    this.#mayEndEarly = false;
    return true;
  }

  /** Records that `holder` has announced its leases in this grace period. */
  noteAnnounced(holder: VmId, now: number): void {
    if (now < this.#endsAt) this.#announced.add(holder);
  }

  /** Ends the grace period early once all of `holders` have announced. */
  endEarly(holders: readonly VmId[], now: number): void {
    if (!this.#mayEndEarly || now >= this.#endsAt) return;
    if (holders.length === 0) return;
    if (now < this.#startedAt + MIN_GRACE_PERIOD_MS) return;
    if (holders.every((holder) => this.#announced.has(holder))) {
      this.#endsAt = now;
    }
  }

  /**
   * Ends the grace period when the previous owner has handed over its leases.
   */
  end(now: number): void {
    this.#endsAt = Math.min(this.#endsAt, now);
  }

  isOver(now: number): boolean {
    return now >= this.#endsAt;
  }
}
