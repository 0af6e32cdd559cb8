/**
 * Interval between calls to the store after a failed one.
 *
 * @module
 */

/**
 * Interval after the first failure: the store may have cut the watches of all
 * VMs and answer their next call.
 */
const FIRST_RETRY_MS = 20;
/** Interval while views are fresh, since other VMs depend on watchers. */
const RETRY_MS = 250;
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
   * Interval for a VM of `vmCount`. While its view is stale it grows from failure
   * to failure: a single one does not show that the store is unavailable to
   * other VMs as well.
   */
  computeIntervalMs(vmCount: number, isViewStale: boolean): number {
    if (this.#failures === 1) return FIRST_RETRY_MS;
    if (!isViewStale) return RETRY_MS;
    const maxMs = Math.max(RETRY_MS, RETRY_PER_VM_MS * vmCount);
    const grownMs = RETRY_MS * GROWTH_FACTOR ** (this.#failures - 2);
    return Math.min(maxMs, grownMs);
  }
}
