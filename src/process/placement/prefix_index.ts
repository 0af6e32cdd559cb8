/**
 * Which replica has cached which parts of prompts, derived from the prompts
 * that VMs sent.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Parts in the index; the least recently used are evicted first. */
const MAX_PARTS = 8_000;
/** A part that was not used for this long counts as evicted by the replica. */
const MAX_IDLE_MS = 60_000;
/**
 * A part that was sent this long ago counts as prefilled, even if no VM has
 * reported it.
 */
const PREFILLED_AFTER_MS = 1_500;

/**
 * Parts of a prompt that was sent to a replica, and how many of its tokens the
 * replica has to prefill.
 */
export type PlacementEntry = [
  replica: VmId,
  parts: string[],
  prefillTokens: number,
];

/** Shared parts of a prompt that a replica has prefilled. */
export type ReadEntry = [replica: VmId, parts: string[]];

/** A part at one replica; times are those of `Clock.now()`. */
interface CachedPart {
  sentAt: number;
  usedAt: number;
  /** Whether the replica has sent output to a prompt with this part. */
  isPrefilled: boolean;
}

/** Parts of prompts by replica. */
export class PrefixIndex {
  readonly #clock: Clock;
  readonly #parts = new Map<string, Map<VmId, CachedPart>>();
  #unsent: PlacementEntry[] = [];
  #unsentPrefilled: ReadEntry[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PrefixIndex {
    return new PrefixIndex(clock);
  }

  /** Records that this VM sent a prompt with these parts to `replica`. */
  noteSent(replica: VmId, parts: string[], prefillTokens: number): void {
    if (parts.length === 0) return;
    this.#unsent.push([replica, parts, prefillTokens]);
    this.#noteParts(replica, parts);
  }

  /** Records prompts that another VM sent. */
  notePeerPlacements(entries: readonly PlacementEntry[]): void {
    for (const [replica, parts] of entries) this.#noteParts(replica, parts);
  }

  /**
   * Records that `replica` has sent output to a prompt with these parts, so
   * that other replicas can fetch them from now on. On empty caches this is a
   * second sooner than `PREFILLED_AFTER_MS` alone, and several replicas would
   * prefill each part again in that second.
   */
  notePrefilled(replica: VmId, parts: readonly string[]): void {
    const shared = parts.slice(0, -1);
    if (this.#setPrefilled(replica, shared)) {
      this.#unsentPrefilled.push([replica, shared]);
    }
  }

  /** Records prefilled parts that another VM reported. */
  notePeerPrefilled(entries: readonly ReadEntry[]): void {
    for (const [replica, parts] of entries) this.#setPrefilled(replica, parts);
  }

  /** Takes the prefilled parts that were not sent to the other VMs yet. */
  takeUnsentPrefilled(): ReadEntry[] {
    const entries = this.#unsentPrefilled;
    this.#unsentPrefilled = [];
    return entries;
  }

  /** Takes the placements that were not sent to the other VMs yet. */
  takeUnsent(): PlacementEntry[] {
    const entries = this.#unsent;
    this.#unsent = [];
    return entries;
  }

  /** All cached parts as placements, for a VM with an empty index. */
  listAll(): PlacementEntry[] {
    const byReplica = new Map<VmId, string[]>();
    for (const [part, holders] of this.#parts) {
      for (const replica of holders.keys()) {
        const parts = byReplica.get(replica) ?? [];
        parts.push(part);
        byReplica.set(replica, parts);
      }
    }
    return [...byReplica].map(([replica, parts]) => [replica, parts, 0]);
  }

  /**
   * Number of leading parts of a prompt that `replica` should still have
   * cached.
   */
  countCached(replica: VmId, parts: readonly string[]): number {
    return this.#countLeading(replica, parts, () => true);
  }

  /** Number of leading parts that `replica` should have prefilled by now. */
  countPrefilled(replica: VmId, parts: readonly string[]): number {
    const latest = this.#clock.now() - PREFILLED_AFTER_MS;
    return this.#countLeading(
      replica,
      parts,
      (cached) => cached.isPrefilled || cached.sentAt <= latest,
    );
  }

  #countLeading(
    replica: VmId,
    parts: readonly string[],
    isCounted: (cached: CachedPart) => boolean,
  ): number {
    const oldest = this.#clock.now() - MAX_IDLE_MS;
    let count = 0;
    for (const part of parts) {
      const cached = this.#parts.get(part)?.get(replica);
      if (cached === undefined || cached.usedAt < oldest) break;
      if (!isCounted(cached)) break;
      count += 1;
    }
    return count;
  }

  /** Whether any replica is known to have cached the part. */
  hasPart(part: string): boolean {
    return this.#parts.has(part);
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const [part, holders] of this.#parts) {
      for (const replica of holders.keys()) {
        if (!isListed(replica)) holders.delete(replica);
      }
      if (holders.size === 0) this.#parts.delete(part);
    }
  }

  /**
   * Marks parts as prefilled. Returns whether the other VMs need to know: once
   * `PREFILLED_AFTER_MS` has passed, they assume it by themselves.
   */
  #setPrefilled(replica: VmId, parts: readonly string[]): boolean {
    const latest = this.#clock.now() - PREFILLED_AFTER_MS;
    let isNew = false;
    for (const part of parts) {
      const cached = this.#parts.get(part)?.get(replica);
      if (cached === undefined || cached.isPrefilled) continue;
      cached.isPrefilled = true;
      isNew ||= cached.sentAt > latest;
    }
    return isNew;
  }

  #noteParts(replica: VmId, parts: readonly string[]): void {
    const now = this.#clock.now();
    for (const part of parts) {
      const holders = this.#parts.get(part) ?? new Map<VmId, CachedPart>();
      const before = holders.get(replica);
      const isCached = before !== undefined &&
        now - before.usedAt <= MAX_IDLE_MS;
      // Inserted again to keep the map in order of last use.
      this.#parts.delete(part);
      this.#parts.set(part, holders);
      const sentAt = isCached ? before.sentAt : now;
      const isPrefilled = isCached && before.isPrefilled;
      holders.set(replica, { sentAt, usedAt: now, isPrefilled });
    }
    while (this.#parts.size > MAX_PARTS) {
      this.#parts.delete(this.#parts.keys().next().value!);
    }
  }
}
