/**
 * Evidence against one request: which replicas crashed while they ran it, and
 * when it was last answered completely.
 *
 * A request with enough evidence is held (quarantined): for a time, no VM sends
 * it to a replica.
 *
 * The evidence is a set of replica incarnations and the time of an answer, so
 * entries can be merged in any order and more than once.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";
import type { SuspectEntry } from "./suspect_entry.ts";

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;

/** Number of crashed replicas at which a request is held. */
export const HOLD_AFTER_CRASHES = 3;
/**
 * How long it is held after the last crash; doubled for each further crash, so
 * that a request that never stops crashes replicas ever more seldom.
 */
const FIRST_HOLD_MS = 10 * MS_PER_MINUTE;
const MAX_HOLD_MS = 24 * MS_PER_HOUR;
/**
 * Number of crashes before the first output at which a request is held for a
 * short time. A request that crashes replicas as they begin it has no output;
 * most requests that are cut off beside it have some, and those without are
 * soon retried.
 */
const HOLD_AFTER_EARLY_CRASHES = 2;
const EARLY_HOLD_MS = MS_PER_MINUTE;
/**
 * How long evidence lasts. It lasts longer once the request was held, so that
 * one more crash is enough to hold it again.
 */
const EVIDENCE_TTL_MS = 10 * MS_PER_MINUTE;
const HELD_EVIDENCE_TTL_MS = 2 * MAX_HOLD_MS;
/** Largest number of crashes kept per request. */
const MAX_CRASHES = 16;

/** Crash of one replica that ran the request. */
interface Crash {
  /** As `Clock.now()`. */
  at: number;
  hadOutput: boolean;
}

/** Crashes and answers of one request. All times are those of `Clock.now()`. */
export class CrashEvidence {
  readonly #crashes = new Map<Incarnation, Crash>();
  readonly #explained: ReadonlySet<Incarnation>;
  #answeredAt = -Infinity;

  constructor(explained: ReadonlySet<Incarnation>) {
    this.#explained = explained;
  }

  /**
   * Crashes of the `explained` replicas are no evidence, unless the request was
   * in others too.
   */
  static create(
    explained: ReadonlySet<Incarnation> = new Set(),
  ): CrashEvidence {
    return new CrashEvidence(explained);
  }

  /** Merges the evidence of another VM; returns whether any of it is new. */
  mergeEntry([, crashes, answeredAgeMs]: SuspectEntry, now: number): boolean {
    const answeredAt = answeredAgeMs < 0 ? -Infinity : now - answeredAgeMs;
    const changes = crashes.filter(([replica, , hadOutput]) => {
      const known = this.#crashes.get(replica);
      return known === undefined || (known.hadOutput && !hadOutput);
    });
    if (changes.length === 0 && answeredAt <= this.#answeredAt) return false;
    for (const [replica, ageMs, hadOutput] of changes) {
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

  /**
   * Records a complete answer: earlier crashes are no evidence against the
   * request.
   */
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

  /** Number of crashes since the last complete answer. */
  countCrashes(): number {
    return this.#listCrashes().length;
  }

  /**
   * Whether the request may be what crashes replicas, and not just one that a
   * single crash cut off in the middle of its output.
   */
  isSuspect(): boolean {
    const crashes = this.#listCrashes();
    return crashes.length > 1 || crashes.some(({ hadOutput }) => !hadOutput);
  }

  /** Whether there were enough crashes to hold the request. */
  hasBeenHeld(): boolean {
    return this.#getHoldMs() > 0;
  }

  /** Until when the request must not be sent. */
  getHeldUntil(): number {
    return this.#getLastCrashAt() + this.#getHoldMs();
  }

  /** When the evidence is of no more use. */
  getExpiresAt(): number {
    const keptMs = this.hasBeenHeld() ? HELD_EVIDENCE_TTL_MS : EVIDENCE_TTL_MS;
    return Math.max(this.#getLastCrashAt(), this.#answeredAt) + keptMs;
  }

  #getHoldMs(): number {
    const crashes = this.#listCrashes();
    if (crashes.length >= HOLD_AFTER_CRASHES) {
      const doublings = crashes.length - HOLD_AFTER_CRASHES;
      return Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** doublings);
    }
    const early = crashes.filter(({ hadOutput }) => !hadOutput);
    return early.length >= HOLD_AFTER_EARLY_CRASHES ? EARLY_HOLD_MS : 0;
  }

  #listCrashes(): Crash[] {
    const crashes = [...this.#crashes]
      .filter(([, { at }]) => at > this.#answeredAt);
    const isExplained = crashes
      .every(([replica]) => this.#explained.has(replica));
    return isExplained ? [] : crashes.map(([, crash]) => crash);
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
