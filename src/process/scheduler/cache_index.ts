/**
 * Index of the prompt prefixes that a replica probably has in its cache.
 *
 * Cache events arrive late and with gaps, so the index is only a hint.
 *
 * @module
 */
import type { CacheEvent } from "../../connection/upstream_transport.ts";

/** Prefixes kept per replica; the least recently added one is evicted. */
const MAX_PREFIXES = 8_192;
/** Consecutive reports behind the events that indicate an engine restart. */
const RESTART_REPORT_COUNT = 8;

/** The cached prefixes of one replica. */
export class CacheIndex {
  readonly #prefixes = new Set<string>();
  #sequence = 0;
  #gaps = 0;
  #reportsBehind = 0;

  static create(): CacheIndex {
    return new CacheIndex();
  }

  /** Sequence number of the last applied event. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Number of gaps in the sequence so far. */
  get gaps(): number {
    return this.#gaps;
  }

  /**
   * Applies cache events in order and ignores repeated ones. A gap may hide an
   * eviction, and requests for that prefix would then get slow first tokens on
   * this replica, so the index is cleared and rebuilt after a gap.
   */
  applyEvents(events: readonly CacheEvent[]): void {
    const ordered = [...events].sort((left, right) =>
      left.sequence - right.sequence
    );
    for (const event of ordered) {
      if (event.sequence <= this.#sequence) continue;
      if (this.#sequence > 0 && event.sequence > this.#sequence + 1) {
        this.clear();
        this.#gaps++;
      }
      this.#sequence = event.sequence;
      if (event.change === "stored") this.#add(event.prefix);
      else this.#prefixes.delete(event.prefix);
    }
  }

  /**
   * Records the engine's latest sequence number from a load report. Reports
   * lag, so a single one behind the events is ignored; if they stay behind, the
   * engine has restarted with an empty cache.
   */
  noteEngineSequence(sequence: number): void {
    this.#reportsBehind = sequence < this.#sequence
      ? this.#reportsBehind + 1
      : 0;
    if (this.#reportsBehind < RESTART_REPORT_COUNT) return;
    this.clear();
    this.#sequence = 0;
    this.#reportsBehind = 0;
  }

  /** Adds the prefixes that a request routed to the replica will cache. */
  noteRouted(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.#add(prefix);
  }

  /**
   * Returns the share of `prefixes`, ordered from the shortest, up to the
   * longest one that is probably cached.
   */
  computeOverlap(prefixes: readonly string[]): number {
    for (let index = prefixes.length - 1; index >= 0; index--) {
      if (this.#prefixes.has(prefixes[index]!)) {
        return (index + 1) / prefixes.length;
      }
    }
    return 0;
  }

  clear(): void {
    this.#prefixes.clear();
  }

  #add(prefix: string): void {
    this.#prefixes.delete(prefix);
    this.#prefixes.add(prefix);
    if (this.#prefixes.size <= MAX_PREFIXES) return;
    const oldest = this.#prefixes.values().next().value;
    if (oldest !== undefined) this.#prefixes.delete(oldest);
  }
}
