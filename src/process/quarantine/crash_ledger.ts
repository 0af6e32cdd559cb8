/**
 * Evidence against requests under which replicas crashed, as one VM knows it.
 *
 * @module
 */
import type { Incarnation, RequestFingerprint } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import { CrashEvidence } from "./crash_evidence.ts";
import type { SuspectEntry } from "./suspect_entry.ts";

/** Requests with evidence; those that were never held are evicted first. */
const MAX_SUSPECTS = 2_000;
/** Crashes that are explained by what is held. */
const MAX_EXPLAINED = 1_000;

/** Evidence by request. */
export class CrashLedger {
  readonly #clock: Clock;
  /** In order of the last evidence. */
  readonly #evidence = new Map<RequestFingerprint, CrashEvidence>();
  readonly #explained = new Set<Incarnation>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): CrashLedger {
    return new CrashLedger(clock);
  }

  /** Records a crash; returns whether it is new. */
  addCrash(
    fingerprint: RequestFingerprint,
    replica: Incarnation,
    hadOutput: boolean,
  ): boolean {
    return this.mergeEntry([fingerprint, [[replica, 0, hadOutput]], -1]);
  }

  /** Something else is known to have crashed the replica. */
  noteExplained(replica: Incarnation): void {
    this.#explained.add(replica);
    if (this.#explained.size <= MAX_EXPLAINED) return;
    const [oldest] = this.#explained;
    this.#explained.delete(oldest!);
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    this.#evidence.get(fingerprint)?.noteAnswered(this.#clock.now());
  }

  /** Merges the evidence of another VM; returns whether any of it is new. */
  mergeEntry(entry: SuspectEntry): boolean {
    const [fingerprint] = entry;
    const evidence = this.#findCurrent(fingerprint) ??
      CrashEvidence.create(this.#explained);
    if (!evidence.mergeEntry(entry, this.#clock.now())) return false;
    this.#putLast(fingerprint, evidence);
    return true;
  }

  /**
   * Number of replicas that crashed under it since its last complete answer.
   */
  countCrashes(fingerprint: RequestFingerprint): number {
    return this.#findCurrent(fingerprint)?.countCrashes() ?? 0;
  }

  /** As `CrashEvidence.isSuspect`. */
  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.#findCurrent(fingerprint)?.isSuspect() ?? false;
  }

  /** Milliseconds for which it is still held; 0 if it may be sent. */
  getQuarantineMs(fingerprint: RequestFingerprint): number {
    const heldUntil = this.#findCurrent(fingerprint)?.getHeldUntil() ??
      -Infinity;
    return Math.max(0, heldUntil - this.#clock.now());
  }

  /** Evidence against each of the requests, for other VMs. */
  buildEntries(fingerprints: Iterable<RequestFingerprint>): SuspectEntry[] {
    const entries: SuspectEntry[] = [];
    for (const each of fingerprints) {
      const evidence = this.#findCurrent(each);
      if (evidence === undefined) continue;
      entries.push(evidence.buildEntry(each, this.#clock.now()));
    }
    return entries;
  }

  /** Requests with evidence against them, those with the most crashes first. */
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
    const neverHeld = [...this.#evidence].find(([, each]) =>
      !each.hasBeenHeld()
    );
    this.#evidence.delete(neverHeld?.[0] ?? oldest!);
  }

  /** Undefined where there is no evidence, or none that still counts. */
  #findCurrent(fingerprint: RequestFingerprint): CrashEvidence | undefined {
    const evidence = this.#evidence.get(fingerprint);
    if (evidence === undefined) return undefined;
    if (this.#clock.now() < evidence.getExpiresAt()) return evidence;
    this.#evidence.delete(fingerprint);
    return undefined;
  }
}
