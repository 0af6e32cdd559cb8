/**
 * Which requests replicas crashed under, as far as one VM knows.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";
import type { Clock } from "../clock.ts";

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;

/** A request is held once so many replicas have crashed under it. */
export const HELD_CRASHES = 3;
/**
 * How long it is held after the last crash, in milliseconds; doubled for each
 * crash more, so that one that never stops costs a replica ever more seldom.
 */
const FIRST_HOLD_MS = 10 * MS_PER_MINUTE;
const LONGEST_HOLD_MS = 24 * MS_PER_HOUR;
/** Evidence against a request that was never held lasts so long. */
const SUSPICION_MS = 10 * MS_PER_MINUTE;
/** Evidence is kept against so many requests, those of few crashes in part. */
const MAX_SUSPECTS = 2_000;
/** Crashes remembered of one request. */
const MAX_CRASHES = 16;

/** What VMs tell each other of one request; ages are in milliseconds. */
export type SuspectEntry = [
  fingerprint: RequestFingerprint,
  crashes: [replica: Incarnation, ageMs: number][],
  /** Since it was last answered whole; -1 for never. */
  answeredAgeMs: number,
];

interface Evidence {
  /** When each replica crashed under it, by `Clock.now()`. */
  crashes: Map<Incarnation, number>;
  answeredAt: number;
}

/**
 * Collects crashes by request. Evidence of all VMs is a set of replicas and the
 * time of the last whole answer: put together in any order, and more than once,
 * it comes to the same.
 */
export class CrashLedger {
  readonly #clock: Clock;
  /** In the order in which the last evidence came. */
  readonly #evidence = new Map<RequestFingerprint, Evidence>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): CrashLedger {
    return new CrashLedger(clock);
  }

  /** Whether the crash was not known. */
  addCrash(fingerprint: RequestFingerprint, replica: Incarnation): boolean {
    return this.mergeEntry([fingerprint, [[replica, 0]], -1]);
  }

  /** What crashed before is no evidence against a request that ran whole. */
  noteAnswered(fingerprint: RequestFingerprint): void {
    const evidence = this.#evidence.get(fingerprint);
    if (evidence !== undefined) evidence.answeredAt = this.#clock.now();
  }

  /** Takes in what another VM knows; says whether any of it is new. */
  mergeEntry([fingerprint, crashes, answeredAgeMs]: SuspectEntry): boolean {
    const now = this.#clock.now();
    const evidence = this.#evidence.get(fingerprint) ??
      { crashes: new Map(), answeredAt: -Infinity };
    const answeredAt = answeredAgeMs < 0 ? -Infinity : now - answeredAgeMs;
    const unknown = crashes.filter(([replica]) =>
      !evidence.crashes.has(replica)
    );
    if (unknown.length === 0 && answeredAt <= evidence.answeredAt) return false;
    evidence.answeredAt = Math.max(evidence.answeredAt, answeredAt);
    for (const [replica, ageMs] of unknown) {
      evidence.crashes.set(replica, now - ageMs);
    }
    dropOldest(evidence.crashes, MAX_CRASHES);
    this.#putLast(fingerprint, evidence);
    return true;
  }

  /** Replicas that crashed under it since it was last answered whole. */
  countCrashes(fingerprint: RequestFingerprint): number {
    const evidence = this.#findCurrent(fingerprint);
    return evidence === undefined ? 0 : countCrashes(evidence);
  }

  /** How long it is still held, in milliseconds; 0 if it may be sent. */
  getHeldMs(fingerprint: RequestFingerprint): number {
    const evidence = this.#findCurrent(fingerprint);
    if (evidence === undefined) return 0;
    return Math.max(0, getHeldUntil(evidence) - this.#clock.now());
  }

  /** What is known of one request, for other VMs. */
  buildEntry(fingerprint: RequestFingerprint): SuspectEntry | undefined {
    const evidence = this.#findCurrent(fingerprint);
    if (evidence === undefined) return undefined;
    const now = this.#clock.now();
    const crashes = [...evidence.crashes].map(([replica, at]) =>
      [replica, Math.round(now - at)] as [Incarnation, number]
    );
    const answeredAgeMs = Number.isFinite(evidence.answeredAt)
      ? Math.round(now - evidence.answeredAt)
      : -1;
    return [fingerprint, crashes, answeredAgeMs];
  }

  /** What is known of each of them. */
  buildEntries(fingerprints: Iterable<RequestFingerprint>): SuspectEntry[] {
    return [...fingerprints].map((each) => this.buildEntry(each))
      .filter((entry) => entry !== undefined);
  }

  /** Requests with evidence against them, those of most crashes first. */
  listSuspects(): RequestFingerprint[] {
    return [...this.#evidence.keys()].reverse()
      .map((fingerprint) => ({
        fingerprint,
        crashes: this.countCrashes(fingerprint),
      }))
      .filter(({ crashes }) => crashes > 0)
      .toSorted((left, right) => right.crashes - left.crashes)
      .map(({ fingerprint }) => fingerprint);
  }

  #putLast(fingerprint: RequestFingerprint, evidence: Evidence): void {
    this.#evidence.delete(fingerprint);
    this.#evidence.set(fingerprint, evidence);
    if (this.#evidence.size <= MAX_SUSPECTS) return;
    const [oldest] = this.#evidence.keys();
    const dropped =
      [...this.#evidence].find(([, each]) => countCrashes(each) < HELD_CRASHES)
        ?.[0] ?? oldest!;
    this.#evidence.delete(dropped);
  }

  /** Undefined where nothing is known any more. */
  #findCurrent(fingerprint: RequestFingerprint): Evidence | undefined {
    const evidence = this.#evidence.get(fingerprint);
    if (evidence === undefined) return undefined;
    if (this.#clock.now() < getForgottenAt(evidence)) return evidence;
    this.#evidence.delete(fingerprint);
    return undefined;
  }
}

function countCrashes({ crashes, answeredAt }: Evidence): number {
  return [...crashes.values()].filter((at) => at > answeredAt).length;
}

function getLastCrashAt({ crashes }: Evidence): number {
  return Math.max(-Infinity, ...crashes.values());
}

function getHeldUntil(evidence: Evidence): number {
  const beyond = countCrashes(evidence) - HELD_CRASHES;
  if (beyond < 0) return -Infinity;
  const holdMs = Math.min(LONGEST_HOLD_MS, FIRST_HOLD_MS * 2 ** beyond);
  return getLastCrashAt(evidence) + holdMs;
}

/**
 * A request that was held once is held again after one crash more, and not
 * after as many as the first time.
 */
function getForgottenAt(evidence: Evidence): number {
  const wasHeld = countCrashes(evidence) >= HELD_CRASHES;
  const keptMs = wasHeld ? 2 * LONGEST_HOLD_MS : SUSPICION_MS;
  return Math.max(getLastCrashAt(evidence), evidence.answeredAt) + keptMs;
}

function dropOldest(crashes: Map<Incarnation, number>, most: number): void {
  while (crashes.size > most) {
    const [oldest] = crashes.keys();
    crashes.delete(oldest!);
  }
}
