/**
 * Which requests replicas crashed under, as far as one VM knows.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { CrashEvidence, type SuspectEntry } from "./crash_evidence.ts";

/** Evidence is kept against so many requests, held ones before others. */
const MAX_SUSPECTS = 2_000;

/** Evidence by request. */
export class CrashLedger {
  readonly #clock: Clock;
  /** In the order in which the last evidence came. */
  readonly #evidence = new Map<RequestFingerprint, CrashEvidence>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): CrashLedger {
    return new CrashLedger(clock);
  }

  /** Whether the crash was not known. */
  addCrash(
    fingerprint: RequestFingerprint,
    replica: Incarnation,
    hadOutput: boolean,
  ): boolean {
    return this.mergeEntry([fingerprint, [[replica, 0, hadOutput]], -1]);
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    this.#evidence.get(fingerprint)?.noteAnswered(this.#clock.now());
  }

  /** Takes in what another VM knows; says whether any of it is new. */
  mergeEntry(entry: SuspectEntry): boolean {
    const [fingerprint] = entry;
    const evidence = this.#findCurrent(fingerprint) ?? CrashEvidence.create();
    if (!evidence.mergeEntry(entry, this.#clock.now())) return false;
    this.#putLast(fingerprint, evidence);
    return true;
  }

  /** Replicas that crashed under it since it was last answered whole. */
  countCrashes(fingerprint: RequestFingerprint): number {
    return this.#findCurrent(fingerprint)?.countCrashes() ?? 0;
  }

  /** As `CrashEvidence.isSuspect`. */
  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.#findCurrent(fingerprint)?.isSuspect() ?? false;
  }

  /** How long it is still held, in milliseconds; 0 if it may be sent. */
  getHeldMs(fingerprint: RequestFingerprint): number {
    const heldUntil = this.#findCurrent(fingerprint)?.getHeldUntil() ??
      -Infinity;
    return Math.max(0, heldUntil - this.#clock.now());
  }

  /** What is known of each of them, for other VMs. */
  buildEntries(fingerprints: Iterable<RequestFingerprint>): SuspectEntry[] {
    const entries: SuspectEntry[] = [];
    for (const each of fingerprints) {
      const evidence = this.#findCurrent(each);
      if (evidence === undefined) continue;
      entries.push(evidence.buildEntry(each, this.#clock.now()));
    }
    return entries;
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

  #putLast(fingerprint: RequestFingerprint, evidence: CrashEvidence): void {
    this.#evidence.delete(fingerprint);
    this.#evidence.set(fingerprint, evidence);
    if (this.#evidence.size > MAX_SUSPECTS) this.#dropOldest();
  }

  #dropOldest(): void {
    const [oldest] = this.#evidence.keys();
    const unheld = [...this.#evidence].find(([, each]) => !each.isHeldOnce());
    this.#evidence.delete(unheld?.[0] ?? oldest!);
  }

  /** Undefined where nothing is known any more. */
  #findCurrent(fingerprint: RequestFingerprint): CrashEvidence | undefined {
    const evidence = this.#evidence.get(fingerprint);
    if (evidence === undefined) return undefined;
    if (this.#clock.now() < evidence.getForgottenAt()) return evidence;
    this.#evidence.delete(fingerprint);
    return undefined;
  }
}
