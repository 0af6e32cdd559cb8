/**
 * What is known against one request: which replicas crashed under it, and when
 * it was last answered whole.
 *
 * Evidence is a set of replica incarnations and the time of an answer: put
 * together in any order, and more than once, it comes to the same.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;

/** A request is held once so many replicas have crashed under it, */
export const HELD_CRASHES = 3;
/**
 * How long after the last crash, in milliseconds; doubled for each crash more,
 * so that one that never stops costs a replica ever more seldom.
 */
const FIRST_HOLD_MS = 10 * MS_PER_MINUTE;
const LONGEST_HOLD_MS = 24 * MS_PER_HOUR;
/**
 * So many crashes before its first output hold it for a short time. One that
 * crashes replicas as they begin it has no output; most of what is cut beside
 * it has, and what had none is soon tried again.
 */
const HELD_EARLY_CRASHES = 2;
const EARLY_HOLD_MS = MS_PER_MINUTE;
/**
 * Evidence lasts so long, in milliseconds. One that was held is held again
 * after one crash more, and not after as many as the first time.
 */
const SUSPICION_MS = 10 * MS_PER_MINUTE;
const HELD_SUSPICION_MS = 2 * LONGEST_HOLD_MS;
/** Crashes remembered of one request. */
const MAX_CRASHES = 16;

/** What VMs tell each other of one request; ages are in milliseconds. */
export type SuspectEntry = [
  fingerprint: RequestFingerprint,
  crashes: [replica: Incarnation, ageMs: number, hadOutput: boolean][],
  /** Since it was last answered whole; -1 for never. */
  answeredAgeMs: number,
];

/** One replica's end under the request. */
interface Crash {
  /** By `Clock.now()`. */
  at: number;
  hadOutput: boolean;
}

/** Crashes and answers of one request. All times are by `Clock.now()`. */
export class CrashEvidence {
  readonly #crashes = new Map<Incarnation, Crash>();
  #answeredAt = -Infinity;

  static create(): CrashEvidence {
    return new CrashEvidence();
  }

  /** Takes in what another VM knows; says whether any of it is new. */
  mergeEntry([, crashes, answeredAgeMs]: SuspectEntry, now: number): boolean {
    const answeredAt = answeredAgeMs < 0 ? -Infinity : now - answeredAgeMs;
    const news = crashes.filter(([replica, , hadOutput]) => {
      const known = this.#crashes.get(replica);
      return known === undefined || (known.hadOutput && !hadOutput);
    });
    if (news.length === 0 && answeredAt <= this.#answeredAt) return false;
    for (const [replica, ageMs, hadOutput] of news) {
      const known = this.#crashes.get(replica);
      this.#crashes.set(replica, {
        at: known?.at ?? now - ageMs,
        hadOutput: (known?.hadOutput ?? true) && hadOutput,
      });
    }
    this.#dropOldest();
    this.noteAnswered(answeredAt);
    return true;
  }

  /** What crashed before is no evidence against a request that ran whole. */
  noteAnswered(at: number): void {
    this.#answeredAt = Math.max(this.#answeredAt, at);
  }

  buildEntry(fingerprint: RequestFingerprint, now: number): SuspectEntry {
    const crashes: SuspectEntry[1] = [];
    for (const [replica, { at, hadOutput }] of this.#crashes) {
      crashes.push([replica, Math.round(now - at), hadOutput]);
    }
    const answeredAgeMs = Number.isFinite(this.#answeredAt)
      ? Math.round(now - this.#answeredAt)
      : -1;
    return [fingerprint, crashes, answeredAgeMs];
  }

  /** Crashes since the last whole answer. */
  countCrashes(): number {
    return this.#listCrashes().length;
  }

  /**
   * Whether it may be what crashes replicas, and not just one of those that
   * were cut in the middle of their output.
   */
  isSuspect(): boolean {
    const crashes = this.#listCrashes();
    return crashes.length > 1 || crashes.some(({ hadOutput }) => !hadOutput);
  }

  /** Whether there were crashes enough to hold the request. */
  isHeldOnce(): boolean {
    return this.#getHoldMs() > 0;
  }

  /** Until when the request must not be sent. */
  getHeldUntil(): number {
    return this.#getLastCrashAt() + this.#getHoldMs();
  }

  /** When it is of no use any more. */
  getForgottenAt(): number {
    const keptMs = this.isHeldOnce() ? HELD_SUSPICION_MS : SUSPICION_MS;
    return Math.max(this.#getLastCrashAt(), this.#answeredAt) + keptMs;
  }

  #getHoldMs(): number {
    const crashes = this.#listCrashes();
    if (crashes.length >= HELD_CRASHES) {
      const doublings = crashes.length - HELD_CRASHES;
      return Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** doublings);
    }
    const early = crashes.filter(({ hadOutput }) => !hadOutput);
    return early.length >= HELD_EARLY_CRASHES ? EARLY_HOLD_MS : 0;
  }

  #listCrashes(): Crash[] {
    return [...this.#crashes.values()]
      .filter(({ at }) => at > this.#answeredAt);
  }

  #getLastCrashAt(): number {
    const times = [...this.#crashes.values()].map(({ at }) => at);
    return Math.max(-Infinity, ...times);
  }

  #dropOldest(): void {
    while (this.#crashes.size > MAX_CRASHES) {
      const [oldest] = this.#crashes.keys();
      this.#crashes.delete(oldest!);
    }
  }
}
