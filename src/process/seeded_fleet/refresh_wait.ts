/**
 * Lets requests wait for newer state while this VM may lack some.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/**
 * Requests wait at most this long for a confirmation of a stale view. A store
 * that does not answer is found unavailable sooner, which ends the wait.
 */
const MAX_CONFIRMING_WAIT_MS = 2_000;
/**
 * At a VM that was stalled, requests wait at most this long for state that it
 * has heard of. A call to another VM takes a few milliseconds.
 */
const MAX_RESUMING_WAIT_MS = 200;
const REFRESH_CHECK_INTERVAL_MS = 10;
/** A VM that heard from no other for so long was stalled, or cut off. */
const MIN_GAP_MS = 1_000;
/**
 * Between checks that lie further apart the view may have been fresh, or the
 * process stalled.
 */
const MAX_CHECK_GAP_MS = 1_000;

/** Options of `RefreshWait`. */
export interface RefreshWaitOptions {
  clock: Clock;
  /** Whether this VM has a configuration. */
  hasSnapshot: () => boolean;
  /** Whether this VM's view was not confirmed for some time. */
  isViewStale: () => boolean;
  /** Whether the last calls to the store failed. */
  isStoreUnavailable: () => boolean;
  /** Time for which other VMs have had newer state; 0 if none has. */
  getLagMs: () => number;
  /** Reads the store at once if this VM has to. */
  checkStore: () => void;
}

/** A time for which this VM waits for newer state. */
interface Refreshing {
  since: number;
  checkedAt: number;
}

/** Holds requests that would be handled by what this VM knew before. */
export class RefreshWait {
  readonly #options: RefreshWaitOptions;
  #lastHeardAt = -Infinity;
  /** `Clock.now()` when another VM was heard after a gap. */
  #resumedAt = -Infinity;
  #refreshing: Refreshing | undefined;
  #isEnded = false;

  constructor(options: RefreshWaitOptions) {
    this.#options = options;
  }

  static create(options: RefreshWaitOptions): RefreshWait {
    return new RefreshWait(options);
  }

  /** Records that another VM was heard. */
  noteHeard(): void {
    const now = this.#options.clock.now();
    if (now - this.#lastHeardAt > MIN_GAP_MS) this.#resumedAt = now;
    this.#lastHeardAt = now;
  }

  /** Lets requests wait no more, at a VM that sends none. */
  endWaits(): void {
    this.#isEnded = true;
  }

  /**
   * Resolves once a request may be handled: at once, unless this VM has not
   * confirmed its state for some time, or was stalled and knows of newer state.
   */
  async waitForFreshState(): Promise<void> {
    if (this.canUseState()) return;
    const { clock, checkStore } = this.#options;
    checkStore();
    while (!this.canUseState()) await clock.sleep(REFRESH_CHECK_INTERVAL_MS);
  }

  /**
   * Whether a request may be sent by what this VM knows now. Check before each
   * send: the view of a request that waited, or whose connection took time to
   * open, may have become stale.
   */
  canUseState(): boolean {
    if (this.#isEnded || !this.#isRefreshing()) {
      this.#refreshing = undefined;
      return true;
    }
    const now = this.#options.clock.now();
    const known = this.#refreshing;
    const goesOn = known !== undefined &&
      now - known.checkedAt <= MAX_CHECK_GAP_MS;
    const since = goesOn ? known.since : now;
    this.#refreshing = { since, checkedAt: now };
    return now - since >= MAX_CONFIRMING_WAIT_MS;
  }

  /** Whether newer state is on its way, or a confirmation that there is none. */
  #isRefreshing(): boolean {
    const { clock, hasSnapshot, isViewStale, isStoreUnavailable, getLagMs } =
      this.#options;
    if (!hasSnapshot()) return false;
    const isStoreDown = isStoreUnavailable() && getLagMs() === 0;
    const isConfirming = isViewStale() && !isStoreDown;
    // Otherwise newer state comes within moments, and each of many changes in a
    // row would delay requests.
    const isResuming = clock.now() - this.#resumedAt < MAX_RESUMING_WAIT_MS;
    return isConfirming || (isResuming && getLagMs() > 0);
  }
}
