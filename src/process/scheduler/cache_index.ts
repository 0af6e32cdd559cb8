/**
 * Which prompt prefixes a replica probably has in its cache.
 *
 * Cache events come late and with gaps, so the index is a hint only.
 *
 * @module
 */
import type { CacheEvent } from "../../connection/upstream_transport.ts";

/** Prefixes remembered per replica; the one unused for longest goes first. */
const MAX_PREFIXES = 8_192;
/** Reports behind the events, one after the other, that mean a restart. */
const RESTART_REPORTS = 8;

/** One replica's prefixes. */
export class CacheIndex {
  readonly #prefixes = new Set<string>();
  #sequence = 0;
  #gaps = 0;
  #behind = 0;

  static create(): CacheIndex {
    return new CacheIndex();
  }

  /** The last event taken in. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Gaps found so far. */
  get gaps(): number {
    return this.#gaps;
  }

  /**
   * Takes events in. After a gap an eviction may have been missed: requests
   * would be sent to a replica for a prefix that it no longer has, which
   * shows as slow first tokens. So the index is emptied and built anew.
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
   * Notes the engine's latest sequence, as a report gives it. Reports lag, so
   * one that is behind the events means nothing; if they stay behind, the
   * engine has started again, and its cache is empty.
   */
  noteLatest(sequence: number): void {
    this.#behind = sequence < this.#sequence ? this.#behind + 1 : 0;
    if (this.#behind < RESTART_REPORTS) return;
    this.clear();
    this.#sequence = 0;
    this.#behind = 0;
  }

  /** Prefixes that a request sent there now will leave in the cache. */
  noteRouted(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.#add(prefix);
  }

  /** The share of `prefixes`, shortest first, that are probably cached. */
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
