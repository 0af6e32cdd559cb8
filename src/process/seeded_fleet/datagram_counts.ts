/**
 * Counts of a VM's datagrams, and a warning when some are lost on this VM.
 *
 * @module
 */
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { DatagramLink } from "./datagram_link.ts";

const CHECK_INTERVAL_MS = 5_000;

/** Datagrams since the link was opened. */
export interface DatagramTotals {
  sent: number;
  received: number;
  /** Those that could not be sent, such as those above the maximum size. */
  failed: number;
}

/** Options of `DatagramCounts`. */
export interface DatagramCountsOptions {
  clock: Clock;
  log: Log;
  link: DatagramLink;
}

/** Compares the counts of a link at an interval. */
export class DatagramCounts {
  readonly #options: DatagramCountsOptions;
  readonly #stopped = new AbortController();
  #dropped = 0;
  #failed = 0;

  constructor(options: DatagramCountsOptions) {
    this.#options = options;
  }

  static create(options: DatagramCountsOptions): DatagramCounts {
    return new DatagramCounts(options);
  }

  /** Counts as of now. */
  get totals(): DatagramTotals {
    return this.#options.link.totals;
  }

  /** Drops by the kernel, as of the last check; 0 where it does not tell. */
  get dropped(): number {
    return this.#dropped;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  async #run(): Promise<void> {
    const { clock } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      await this.#check();
    }
  }

  async #check(): Promise<void> {
    const { link, log } = this.#options;
    const dropped = await link.readReceiveDrops() ?? 0;
    const { failed } = link.totals;
    if (dropped > this.#dropped) {
      log.warn("datagrams_dropped", { count: dropped - this.#dropped });
    }
    if (failed > this.#failed) {
      log.warn("datagrams_failed", {
        count: failed - this.#failed,
        error: link.lastError?.message,
      });
    }
    this.#dropped = dropped;
    this.#failed = failed;
  }
}
