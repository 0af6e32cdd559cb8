/**
 * Interval between calls to the store after a failed one.
 *
 * @module
 */

/** Interval while views are fresh, since other VMs depend on watchers. */
export const RETRY_MS = 250;
/**
 * While the store is unavailable all VMs retry, at an interval that grows by
 * this time with each VM: some 40 calls a second for a fleet of any size. Calls
 * are billed, and 195 VMs that each retry four times a second would use half of
 * the store's capacity.
 */
const RETRY_PER_VM_MS = 25;
/** Growth of the interval with each failure in a row. */
const GROWTH_FACTOR = 2;

/** Computes the interval from the failures in a row. */
export class StoreRetry {
  #failures = 0;

  static create(): StoreRetry {
    return new StoreRetry();
  }

  /** Failures in a row. */
  get failures(): number {
    return this.#failures;
  }

  noteAnswered(): void {
    this.#failures = 0;
  }

  noteFailed(): void {
    this.#failures += 1;
  }

  /**
   * Interval for a VM of `vmCount` that serves by a stale view. It grows from
   * failure to failure: a single one does not show that the store is unavailable
   * to other VMs as well.
   */
  computeStaleMs(vmCount: number): number {
    const maxMs = Math.max(RETRY_MS, RETRY_PER_VM_MS * vmCount);
    const grownMs = RETRY_MS * GROWTH_FACTOR ** (this.#failures - 1);
    return Math.min(maxMs, grownMs);
  }
}
