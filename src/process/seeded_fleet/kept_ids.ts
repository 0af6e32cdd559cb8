/**
 * Ids that are kept for some time, by this VM's knowledge or that of others.
 *
 * @module
 */
import type { Clock } from "../clock.ts";

/** What one VM may tell another at most. */
const MAX_TOLD = 256;

/** Something that is kept, and for how many milliseconds. */
export type KeptEntry<Id> = [id: Id, leftMs: number];

/**
 * Ids that are kept for some time. Those that another VM told are not told on:
 * with each message they would be kept for longer.
 */
export class KeptIds<Id> {
  readonly #clock: Clock;
  readonly #maxMs: number;
  readonly #own = new Map<Id, number>();
  readonly #told = new Map<Id, number>();

  constructor(clock: Clock, maxMs: number) {
    this.#clock = clock;
    this.#maxMs = maxMs;
  }

  /** Each id is kept for `maxMs`, or for less if another VM says so. */
  static create<Id>(clock: Clock, maxMs: number): KeptIds<Id> {
    return new KeptIds(clock, maxMs);
  }

  /** Keeps an id that this VM knows itself. */
  add(id: Id): void {
    this.#own.set(id, this.#clock.now() + this.#maxMs);
  }

  /** Keeps each id of this VM for the whole time again. */
  renewAll(): void {
    for (const [id] of this.listOwn()) this.add(id);
  }

  /** Adds what another VM keeps; returns whether anything was not kept here. */
  addTold(entries: readonly KeptEntry<Id>[]): boolean {
    const before = this.list();
    for (const [id, leftMs] of entries.slice(0, MAX_TOLD)) {
      const until = this.#clock.now() + Math.min(leftMs, this.#maxMs);
      this.#told.set(id, Math.max(until, this.#told.get(id) ?? until));
    }
    return entries.some(([id]) => !before.has(id));
  }

  remove(id: Id): void {
    this.#own.delete(id);
    this.#told.delete(id);
  }

  /** What is kept now. */
  list(): Set<Id> {
    const now = this.#clock.now();
    const kept = [...this.#own, ...this.#told];
    return new Set(kept.filter(([, until]) => until > now).map(([id]) => id));
  }

  /** What this VM knows itself. */
  listOwn(): KeptEntry<Id>[] {
    const now = this.#clock.now();
    return [...this.#own].filter(([, until]) => until > now)
      .map(([id, until]) => [id, Math.ceil(until - now)]);
  }

  /**
   * `Clock.now()` of the next end, or of one that was not dropped yet; Infinity
   * for none.
   */
  getNextEnd(): number {
    return Math.min(...this.#own.values(), ...this.#told.values());
  }

  /** Forgets what is kept no longer. */
  dropEnded(): void {
    const now = this.#clock.now();
    for (const kept of [this.#own, this.#told]) {
      for (const [id, until] of kept) if (until <= now) kept.delete(id);
    }
  }
}
