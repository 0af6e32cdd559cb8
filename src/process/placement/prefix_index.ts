/**
 * Which replica has read which parts of prompts, by what VMs sent there.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** Parts that are remembered; the ones used longest ago go first. */
const MAX_PARTS = 8_000;
/** A part that was not used for so long counts as gone, in milliseconds. */
const KEPT_MS = 60_000;
/**
 * A part that was sent so long ago has been read, in milliseconds, also where
 * nobody has told of it.
 */
const READ_WITHIN_MS = 1_500;

/** A prompt's parts, sent to a replica that has so many tokens to read. */
export type PlacementEntry = [
  replica: VmId,
  parts: string[],
  readTokens: number,
];

/** Shared parts of a prompt that a replica was seen to have read. */
export type ReadEntry = [replica: VmId, parts: string[]];

/** A part at one replica; times of `Clock.now()`. */
interface HeldPart {
  sentAt: number;
  usedAt: number;
  /** Whether the replica has sent output after it. */
  isRead: boolean;
}

/** Parts of prompts by replica. */
export class PrefixIndex {
  readonly #clock: Clock;
  readonly #parts = new Map<string, Map<VmId, HeldPart>>();
  #unsent: PlacementEntry[] = [];
  #unsentRead: ReadEntry[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PrefixIndex {
    return new PrefixIndex(clock);
  }

  /** Takes in that this VM sent a prompt with these parts to `replica`. */
  noteSent(replica: VmId, parts: string[], readTokens: number): void {
    if (parts.length === 0) return;
    this.#unsent.push([replica, parts, readTokens]);
    this.#note(replica, parts);
  }

  /** Takes in what another VM sent. */
  notePeerPlacements(entries: readonly PlacementEntry[]): void {
    for (const [replica, parts] of entries) this.#note(replica, parts);
  }

  /**
   * Takes in that `replica` has sent output to a prompt with these parts: it
   * can hand them over from now on. In a flood on empty caches this is a second
   * sooner than by the time alone, in which each part would be read again at
   * several replicas.
   */
  noteRead(replica: VmId, parts: readonly string[]): void {
    const shared = parts.slice(0, -1);
    if (this.#setRead(replica, shared)) {
      this.#unsentRead.push([replica, shared]);
    }
  }

  /** Takes in what another VM saw. */
  notePeerReads(entries: readonly ReadEntry[]): void {
    for (const [replica, parts] of entries) this.#setRead(replica, parts);
  }

  /** What was read that the other VMs have not been told of yet. */
  takeUnsentReads(): ReadEntry[] {
    const entries = this.#unsentRead;
    this.#unsentRead = [];
    return entries;
  }

  /** Placements that the other VMs have not been told of yet. */
  takeUnsent(): PlacementEntry[] {
    const entries = this.#unsent;
    this.#unsent = [];
    return entries;
  }

  /** All that is known, as placements, for a VM that knows nothing. */
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

  /** How many of a prompt's first parts `replica` should still have. */
  countHeld(replica: VmId, parts: readonly string[]): number {
    return this.#countFirst(replica, parts, () => true);
  }

  /** The same of parts that it should have read by now. */
  countRead(replica: VmId, parts: readonly string[]): number {
    const latest = this.#clock.now() - READ_WITHIN_MS;
    return this.#countFirst(
      replica,
      parts,
      (held) => held.isRead || held.sentAt <= latest,
    );
  }

  #countFirst(
    replica: VmId,
    parts: readonly string[],
    isCounted: (held: HeldPart) => boolean,
  ): number {
    const oldest = this.#clock.now() - KEPT_MS;
    let count = 0;
    for (const part of parts) {
      const held = this.#parts.get(part)?.get(replica);
      if (held === undefined || held.usedAt < oldest) break;
      if (!isCounted(held)) break;
      count += 1;
    }
    return count;
  }

  /** Whether any replica is known to have read the part. */
  hasPart(part: string): boolean {
    return this.#parts.has(part);
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const [part, holders] of this.#parts) {
      for (const replica of holders.keys()) {
        if (!isListed(replica)) holders.delete(replica);
      }
      if (holders.size === 0) this.#parts.delete(part);
    }
  }

  /** Says whether that is news: others take it for read soon anyway. */
  #setRead(replica: VmId, parts: readonly string[]): boolean {
    const latest = this.#clock.now() - READ_WITHIN_MS;
    let isNew = false;
    for (const part of parts) {
      const held = this.#parts.get(part)?.get(replica);
      if (held === undefined || held.isRead) continue;
      held.isRead = true;
      isNew ||= held.sentAt > latest;
    }
    return isNew;
  }

  #note(replica: VmId, parts: readonly string[]): void {
    const now = this.#clock.now();
    for (const part of parts) {
      const holders = this.#parts.get(part) ?? new Map<VmId, HeldPart>();
      const before = holders.get(replica);
      const isHeld = before !== undefined && now - before.usedAt <= KEPT_MS;
      // Set anew, so that the map's order is that of the last use.
      this.#parts.delete(part);
      this.#parts.set(part, holders);
      const sentAt = isHeld ? before.sentAt : now;
      const isRead = isHeld && before.isRead;
      holders.set(replica, { sentAt, usedAt: now, isRead });
    }
    while (this.#parts.size > MAX_PARTS) {
      this.#parts.delete(this.#parts.keys().next().value!);
    }
  }
}
