/**
 * Records when the store stops answering this VM, and when it answers again.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";

/** Options of `StoreAvailability`. */
export interface StoreAvailabilityOptions {
  clock: Clock;
  log: Log;
  /** Whether this VM's view was not confirmed for some time. */
  isViewStale: () => boolean;
  /** Called when the store stops answering this VM. */
  onLost: () => void;
  /** Called when the store answers again. */
  onRegained: (regained: StoreRegained) => void;
}

/** A call to the store that succeeded after others had failed. */
export interface StoreRegained {
  /** `Clock.now()` when it was sent. */
  calledAt: number;
  /** Time since the first of the calls that failed was sent. */
  failingMs: number;
}

/** Calls to the store that fail one after the other. */
export class StoreAvailability {
  readonly #options: StoreAvailabilityOptions;
  /** `Clock.now()` at the start of the first call that failed. */
  #lostSince: number | undefined;
  /** Whether a call failed since this VM began to watch. */
  #hasFailed = false;

  constructor(options: StoreAvailabilityOptions) {
    this.#options = options;
  }

  static create(options: StoreAvailabilityOptions): StoreAvailability {
    return new StoreAvailability(options);
  }

  /** Whether the last call to the store failed. */
  get isLost(): boolean {
    return this.#lostSince !== undefined;
  }

  /** Records that this VM begins, or ends, to watch the store. */
  noteWatching(): void {
    this.#hasFailed = false;
  }

  /** Records a call that was sent at `calledAt` and failed. */
  noteFailed(calledAt: number, error: Error): void {
    const { clock, log, isViewStale, onLost } = this.#options;
    this.#hasFailed = true;
    if (this.#lostSince !== undefined) return;
    this.#lostSince = calledAt;
    const calledMs = Math.round(clock.now() - calledAt);
    log.warn("store_lost", { error: error.message, called_ms: calledMs });
    // With a stale view each VM watches the store itself and needs no report
    // that others cannot.
    if (!isViewStale()) onLost();
  }

  /** Records a call that was sent at `calledAt` and answered. */
  noteAnswered(calledAt: number): void {
    if (this.#lostSince === undefined) return;
    const { log, onRegained } = this.#options;
    const failingMs = calledAt - this.#lostSince;
    this.#lostSince = undefined;
    log.info("store_regained", { away_ms: Math.round(failingMs) });
    if (this.#hasFailed) onRegained({ calledAt, failingMs });
    this.#hasFailed = false;
  }
}
