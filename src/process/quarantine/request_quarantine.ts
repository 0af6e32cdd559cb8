/**
 * Keeps requests from replicas that crash each replica that begins them.
 *
 * @module
 */
import {
  type Incarnation,
  type RequestFingerprint,
  toId,
  type VmId,
} from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import { type DisconnectedReplica, Quarantine } from "../services.ts";
import { HELD_CRASHES, type SuspectEntry } from "./crash_evidence.ts";
import { CrashLedger } from "./crash_ledger.ts";

/** Requests cut by one crash fail one after the other; all are told at once. */
const NEWS_WAIT_MS = 5;
/**
 * A request that was answered whole so short a time ago is not what crashes
 * replicas: many callers may ask for the same, and several replicas may crash
 * at once for another reason.
 */
const TRUSTED_AFTER_ANSWER_MS = 10_000;

/** What a check finds holds for so long, in milliseconds. */
const CHECK_HOLDS_MS = 50;
/** A replica takes longer to start again, in milliseconds. */
const LEAST_LIFE_MS = 1_000;

/** What a quarantine needs. */
export interface RequestQuarantineOptions {
  clock: Clock;
  log: Log;
  /** Whether a replica takes connections; false where nothing tells. */
  isListening: (replica: VmId) => Promise<boolean>;
  /** Tells the other VMs. */
  announce: (entries: readonly SuspectEntry[]) => void;
}

/** A request that must not be sent. */
export interface QuarantinedRequest {
  fingerprint: RequestFingerprint;
  /** Replicas that crashed under it. */
  crashes: number;
  leftMs: number;
}

/** One VM's quarantine, by the evidence of all VMs. */
export class RequestQuarantine extends Quarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #ledger: CrashLedger;
  /** When requests were answered whole lately, the oldest first. */
  readonly #answers = new Map<RequestFingerprint, number>();
  readonly #checks = new Map<Incarnation, Promise<boolean>>();
  readonly #unsent = new Set<RequestFingerprint>();

  constructor(options: RequestQuarantineOptions) {
    super();
    this.#options = options;
    this.#ledger = CrashLedger.create(options.clock);
  }

  static create(options: RequestQuarantineOptions): RequestQuarantine {
    return new RequestQuarantine(options);
  }

  getQuarantineMs(fingerprint: RequestFingerprint): number {
    return this.#ledger.getHeldMs(fingerprint);
  }

  isSuspect(fingerprint: RequestFingerprint): boolean {
    return this.#ledger.isSuspect(fingerprint);
  }

  override async noteConnectionLoss(
    fingerprint: RequestFingerprint,
    { id, incarnation, hadOutput }: DisconnectedReplica,
  ): Promise<void> {
    const replica = incarnation ?? this.#buildIncarnation(id);
    const hasCrashed = await this.#checkCrash(id, replica);
    if (!hasCrashed || this.#isAnsweredLately(fingerprint)) return;
    const wasHeld = this.getQuarantineMs(fingerprint) > 0;
    if (!this.#ledger.addCrash(fingerprint, replica, hadOutput)) return;
    this.#options.log.info("crash_noted", {
      fingerprint,
      replica,
      had_output: hadOutput,
      crashes: this.#ledger.countCrashes(fingerprint),
    });
    if (!wasHeld) this.#checkHeld(fingerprint, "self");
    this.#announceSoon(fingerprint);
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    const { clock, log } = this.#options;
    this.#answers.delete(fingerprint);
    this.#answers.set(fingerprint, clock.now());
    this.#dropOldAnswers();
    const crashes = this.#ledger.countCrashes(fingerprint);
    if (crashes === 0) return;
    this.#ledger.noteAnswered(fingerprint);
    log.info("suspect_cleared", { fingerprint, crashes });
    // One crash alone keeps a request from nothing, and most that are cut by
    // one are answered soon after.
    if (crashes > 1) this.#announceSoon(fingerprint);
  }

  /**
   * Takes in what another VM knows; returns what that VM should know better.
   */
  mergeEntries(
    from: string,
    entries: readonly SuspectEntry[],
  ): SuspectEntry[] {
    const better: SuspectEntry[] = [];
    for (const entry of entries) {
      const [fingerprint] = entry;
      const wasHeld = this.getQuarantineMs(fingerprint) > 0;
      const isNew = this.#ledger.mergeEntry(entry);
      if (this.#isAnsweredLately(fingerprint)) {
        this.#ledger.noteAnswered(fingerprint);
      }
      if (isNew && !wasHeld) this.#checkHeld(fingerprint, from);
      if (this.#ledger.countCrashes(fingerprint) > 0) continue;
      if (!isSuspected(entry)) continue;
      better.push(...this.#ledger.buildEntries([fingerprint]));
    }
    return better;
  }

  /** The evidence against those of most crashes, at most `count` requests. */
  listEntries(count: number): SuspectEntry[] {
    const suspects = this.#ledger.listSuspects().slice(0, count);
    return this.#ledger.buildEntries(suspects);
  }

  /** Requests that are held now, those of most crashes first. */
  listQuarantined(): QuarantinedRequest[] {
    return this.#ledger.listSuspects().map((fingerprint) => ({
      fingerprint,
      crashes: this.#ledger.countCrashes(fingerprint),
      leftMs: this.getQuarantineMs(fingerprint),
    })).filter(({ leftMs }) => leftMs > 0);
  }

  /** How many requests have any evidence against them. */
  countSuspects(): number {
    return this.#ledger.listSuspects().length;
  }

  /**
   * A replica that lives resets connections, too, when it has too many or fails
   * part of its requests. One connection tells for all that it cut at once.
   */
  #checkCrash(id: VmId, replica: Incarnation): Promise<boolean> {
    const { clock, isListening } = this.#options;
    const known = this.#checks.get(replica);
    if (known !== undefined) return known;
    const check = isListening(id).then((isOpen) => !isOpen);
    this.#checks.set(replica, check);
    clock.startTimer(CHECK_HOLDS_MS, () => this.#checks.delete(replica));
    return check;
  }

  /** A replica that crashes again has started again in between. */
  #buildIncarnation(id: VmId): Incarnation {
    const span = Math.floor(this.#options.clock.now() / LEAST_LIFE_MS);
    return toId<Incarnation>(`${id}@${span}`);
  }

  #announceSoon(fingerprint: RequestFingerprint): void {
    this.#unsent.add(fingerprint);
    if (this.#unsent.size > 1) return;
    this.#options.clock.startTimer(NEWS_WAIT_MS, () => {
      const entries = this.#ledger.buildEntries(this.#unsent);
      this.#unsent.clear();
      this.#options.announce(entries);
    });
  }

  #checkHeld(fingerprint: RequestFingerprint, from: string): void {
    const heldMs = this.getQuarantineMs(fingerprint);
    if (heldMs === 0) return;
    const [entry] = this.#ledger.buildEntries([fingerprint]);
    const replicas = entry![1].map(([replica]) => replica);
    this.#options.log.warn("request_quarantined", {
      fingerprint,
      crashes: replicas.length,
      replicas: replicas.slice(-HELD_CRASHES).join(),
      for_ms: Math.round(heldMs),
      from,
    });
  }

  #isAnsweredLately(fingerprint: RequestFingerprint): boolean {
    const answeredAt = this.#answers.get(fingerprint) ?? -Infinity;
    return answeredAt > this.#options.clock.now() - TRUSTED_AFTER_ANSWER_MS;
  }

  #dropOldAnswers(): void {
    const since = this.#options.clock.now() - TRUSTED_AFTER_ANSWER_MS;
    for (const [fingerprint, answeredAt] of this.#answers) {
      if (answeredAt > since) return;
      this.#answers.delete(fingerprint);
    }
  }
}

/** Whether the sender of an entry takes its request for a suspect. */
function isSuspected([, crashes, answeredAgeMs]: SuspectEntry): boolean {
  return crashes.some(([, ageMs]) =>
    answeredAgeMs < 0 || ageMs < answeredAgeMs
  );
}
