/**
 * Leavings that VMs tell each other ahead of the list that shows them.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { LeavingEntry } from "../placement/replica_list.ts";

/** A leaving is passed on for so long; later on all VMs have a newer list. */
const TOLD_FOR_MS = 3_000;
/** Keeps a heartbeat in one packet. */
const MAX_TOLD = 24;

/** The leavings that this VM has learnt of lately. */
export class RecentLeavings {
  readonly #clock: Clock;
  /** Oldest first. */
  #recent: { entry: LeavingEntry; at: number }[] = [];

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): RecentLeavings {
    return new RecentLeavings(clock);
  }

  add(entries: readonly LeavingEntry[]): void {
    const at = this.#clock.now();
    const ids = new Set(entries.map(([id]) => id));
    const others = this.#recent.filter(({ entry: [id] }) => !ids.has(id));
    this.#recent = [...others, ...entries.map((entry) => ({ entry, at }))];
  }

  clear(): void {
    this.#recent = [];
  }

  /** Whether this VM has learnt of it lately. */
  has(replica: VmId): boolean {
    return this.#recent.some(({ entry: [id] }) => id === replica);
  }

  /** The newest ones. */
  list(): LeavingEntry[] {
    const since = this.#clock.now() - TOLD_FOR_MS;
    this.#recent = this.#recent.filter(({ at }) => at >= since);
    return this.#recent.slice(-MAX_TOLD).map(({ entry }) => entry);
  }
}
