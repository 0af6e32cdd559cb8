/**
 * Decides when a VM reads the whole state to verify what watches told.
 *
 * A watch tells changes only. One that is left out stays unknown at all VMs until
 * its key is written again, although each answer confirms their view.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** Half of what a VM may receive for control at the target size. */
const AUDIT_BYTES_PER_S = 10_000;
const MS_PER_S = 1_000;
const MIN_INTERVAL_MS = 1_000;
/** Incomplete answers in a row after each of which everything is read. */
const MAX_INCOMPLETE_READS = 4;

/** Reads are the rarer the larger the state is. */
export class StoreAudit {
  readonly #clock: Clock;
  #intervalMs = MIN_INTERVAL_MS;
  /** `Clock.now()` at which the interval began. */
  #since: number;
  /** Reads that incomplete answers may still cause; grows with time. */
  #incompleteReads = MAX_INCOMPLETE_READS;
  #refilledAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#since = clock.now();
    this.#refilledAt = clock.now();
  }

  static create(clock: Clock): StoreAudit {
    return new StoreAudit(clock);
  }

  /**
   * Whether this VM has to read the whole state: it has been the auditor, and
   * read nothing, for an interval. Call it before each call to the store.
   */
  checkDue(isAuditor: boolean): boolean {
    const now = this.#clock.now();
    if (!isAuditor) this.#since = now;
    return now - this.#since >= this.#intervalMs;
  }

  /** Records that a read of the whole state begins. */
  noteBegun(): void {
    this.#since = this.#clock.now();
  }

  /** Records the size of the whole state, in bytes. */
  noteSize(bytes: number): void {
    const ms = bytes * MS_PER_S / AUDIT_BYTES_PER_S;
    this.#intervalMs = Math.max(MIN_INTERVAL_MS, ms);
  }

  /**
   * Whether an answer that lacks changes may cause a read, which then counts: a
   * store whose revision also grows for other reasons would cause one with each
   * watch.
   */
  takeIncompleteRead(): boolean {
    const now = this.#clock.now();
    const refilled = (now - this.#refilledAt) / this.#intervalMs;
    const left = this.#incompleteReads + refilled;
    this.#incompleteReads = Math.min(MAX_INCOMPLETE_READS, left);
    this.#refilledAt = now;
    if (this.#incompleteReads < 1) return false;
    this.#incompleteReads -= 1;
    return true;
  }
}
