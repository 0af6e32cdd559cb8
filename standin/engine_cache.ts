/**
 * Prefix cache of a stand-in engine, with cache events that are delayed and
 * partly lost.
 *
 * @module
 */
import type { CacheEvent } from "../src/connection/upstream_transport.ts";
import type { Clock } from "../src/process/clock.ts";
import type { Random } from "../src/process/random.ts";
import type { EngineOptions } from "./engine_options.ts";

const MAX_EVENTS = 10_000;

interface DatedEvent {
  at: number;
  event: CacheEvent;
}

/** LRU cache of prefix hashes. */
export class EngineCache {
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #options: EngineOptions;
  readonly #prefixes = new Set<string>();
  readonly #events: DatedEvent[] = [];
  #sequence = 0;

  constructor(clock: Clock, random: Random, options: EngineOptions) {
    this.#clock = clock;
    this.#random = random;
    this.#options = options;
  }

  static create(
    clock: Clock,
    random: Random,
    options: EngineOptions,
  ): EngineCache {
    return new EngineCache(clock, random, options);
  }

  /** Sequence number of the latest event, published or not. */
  get sequence(): number {
    return this.#sequence;
  }

  get size(): number {
    return this.#prefixes.size;
  }

  has(prefix: string): boolean {
    return this.#prefixes.has(prefix);
  }

  /** Counts the leading `prefixes` that are cached and marks them as used. */
  takeLeading(prefixes: readonly string[]): number {
    let count = 0;
    for (const prefix of prefixes) {
      if (!this.#prefixes.delete(prefix)) break;
      this.#prefixes.add(prefix);
      count++;
    }
    return count;
  }

  /**
   * Stores `prefixes` and evicts the least recently used beyond the capacity.
   */
  put(prefixes: readonly string[]): void {
    for (const prefix of prefixes) {
      if (!this.#prefixes.delete(prefix)) this.#note(prefix, "stored");
      this.#prefixes.add(prefix);
    }
    while (this.#prefixes.size > this.#options.cachedPrefixes) {
      const [oldest] = this.#prefixes;
      this.#prefixes.delete(oldest!);
      this.#note(oldest!, "evicted");
    }
  }

  /** Clears the cache as a restart does; sequence numbers continue. */
  clear(): void {
    this.#prefixes.clear();
    this.#events.length = 0;
  }

  /** Lists the published events with a sequence number above `after`. */
  listEvents(after: number): CacheEvent[] {
    const latest = this.#clock.now() - this.#options.cacheEventDelayMs;
    return this.#events
      .filter((dated) => dated.at <= latest && dated.event.sequence > after)
      .map((dated) => dated.event);
  }

  #note(prefix: string, change: CacheEvent["change"]): void {
    this.#sequence++;
    if (this.#random.next() < this.#options.cacheEventGapShare) return;
    const event = { sequence: this.#sequence, prefix, change };
    this.#events.push({ at: this.#clock.now(), event });
    if (this.#events.length > 2 * MAX_EVENTS) {
      this.#events.splice(0, MAX_EVENTS);
    }
  }
}
