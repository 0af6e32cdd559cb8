/**
 * Paces watches that the store answers at once without telling anything.
 *
 * Such an answer is no failure, so that nothing else makes a VM wait: a store
 * whose watches all end so would be called as fast as it answers.
 *
 * @module
 */

/** The first such answer follows from a dropped history, and is no loop. */
const FREE_WATCHES = 1;
const FIRST_INTERVAL_MS = 20;
const GROWTH_FACTOR = 2;
/** Changes are learnt by the read after each watch, within the drain time. */
const MAX_INTERVAL_MS = 500;
/**
 * Where the reads fail too, views become stale and all VMs watch. A watch and its
 * read are three calls: some 30 a second for a fleet of any size.
 */
const INTERVAL_PER_VM_MS = 100;

/** Watches in a row that told nothing. */
export class FruitlessWatches {
  #count = 0;

  static create(): FruitlessWatches {
    return new FruitlessWatches();
  }

  /** Records a watch. */
  note(isFruitless: boolean): void {
    this.#count = isFruitless ? this.#count + 1 : 0;
  }

  /** Interval before the next watch of a VM of `vmCount`. */
  computeIntervalMs(vmCount: number, isViewStale: boolean): number {
    const repeated = this.#count - FREE_WATCHES;
    if (repeated < 1) return 0;
    const perVmMs = isViewStale ? INTERVAL_PER_VM_MS : 0;
    const maxMs = Math.max(MAX_INTERVAL_MS, perVmMs * vmCount);
    return Math.min(maxMs, FIRST_INTERVAL_MS * GROWTH_FACTOR ** (repeated - 1));
  }
}
