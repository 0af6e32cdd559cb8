/**
 * Keeps a request that crashes every replica that begins it away from the
 * others.
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
import { type DisconnectedReplica, Quarantine } from "../crash_quarantine.ts";
import type { Log } from "../log.ts";
import { HOLD_AFTER_CRASHES } from "./crash_evidence.ts";
import { CrashLedger } from "./crash_ledger.ts";
import type { SuspectEntry } from "./suspect_entry.ts";

/**
 * Requests cut off by one crash fail one after the other; after this delay they
 * are announced together.
 */
const ANNOUNCE_DELAY_MS = 5;
/**
 * A request that was answered completely this recently is not what crashes
 * replicas: many callers may send the same one, and several replicas may crash
 * at once for another reason.
 */
const ANSWER_TRUST_MS = 10_000;

/** How long the result of a check is reused. */
const CHECK_TTL_MS = 50;
/** A replica takes longer than this to restart. */
const MIN_RESTART_MS = 1_000;

/** Options of `RequestQuarantine`. */
export interface RequestQuarantineOptions {
  clock: Clock;
  log: Log;
  /**
   * Whether a replica whose connection was lost has crashed: a live one resets
   * connections too, when it has too many or fails part of its requests.
   */
  hasCrashed: (replica: VmId) => Promise<boolean>;
  /** Sends the entries to the other VMs. */
  announce: (entries: readonly SuspectEntry[]) => void;
}

/** A request that must not be sent. */
export interface QuarantinedRequest {
  fingerprint: RequestFingerprint;
  /** Number of replicas that crashed under it. */
  crashes: number;
  leftMs: number;
}

/** Quarantine of one VM, by the evidence of all VMs. */
export class RequestQuarantine extends Quarantine {
  readonly #options: RequestQuarantineOptions;
  readonly #ledger: CrashLedger;
  /** When requests were answered completely, recent ones only, oldest first. */
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
    return this.#ledger.getQuarantineMs(fingerprint);
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
    if (!hasCrashed || this.#isRecentlyAnswered(fingerprint)) return;
    const wasHeld = this.getQuarantineMs(fingerprint) > 0;
    if (!this.#ledger.addCrash(fingerprint, replica, hadOutput)) return;
    this.#options.log.info("crash_noted", {
      fingerprint,
      replica,
      had_output: hadOutput,
      crashes: this.#ledger.countCrashes(fingerprint),
    });
    if (!wasHeld) this.#recordQuarantined(fingerprint, "self");
    this.#announceSoon(fingerprint);
  }

  noteAnswered(fingerprint: RequestFingerprint): void {
    const { clock, log } = this.#options;
    this.#answers.delete(fingerprint);
    this.#answers.set(fingerprint, clock.now());
    this.#dropExpiredAnswers();
    const crashes = this.#ledger.countCrashes(fingerprint);
    if (crashes === 0) return;
    this.#ledger.noteAnswered(fingerprint);
    log.info("suspect_cleared", { fingerprint, crashes });
    // A single crash does not hold a request, and most requests that one cuts
    // off are answered soon after.
    if (crashes > 1) this.#announceSoon(fingerprint);
  }

  /**
   * Merges the entries of another VM; returns those that are newer here, for
   * that VM.
   */
  mergeEntries(
    from: string,
    entries: readonly SuspectEntry[],
  ): SuspectEntry[] {
    const newer: SuspectEntry[] = [];
    for (const entry of entries) {
      const [fingerprint] = entry;
      const wasHeld = this.getQuarantineMs(fingerprint) > 0;
      const isNew = this.#ledger.mergeEntry(entry);
      if (this.#isRecentlyAnswered(fingerprint)) {
        this.#ledger.noteAnswered(fingerprint);
      }
      if (isNew && !wasHeld) this.#recordQuarantined(fingerprint, from);
      if (this.#ledger.countCrashes(fingerprint) > 0) continue;
      if (!isSuspected(entry)) continue;
      newer.push(...this.#ledger.buildEntries([fingerprint]));
    }
    return newer;
  }

  /**
   * Evidence against the requests with the most crashes, at most `count` of
   * them.
   */
  listEntries(count: number): SuspectEntry[] {
    const suspects = this.#ledger.listSuspects().slice(0, count);
    return this.#ledger.buildEntries(suspects);
  }

  /** Requests that are held now, those with the most crashes first. */
  listQuarantined(): QuarantinedRequest[] {
    return this.#ledger.listSuspects().map((fingerprint) => ({
      fingerprint,
      crashes: this.#ledger.countCrashes(fingerprint),
      leftMs: this.getQuarantineMs(fingerprint),
    })).filter(({ leftMs }) => leftMs > 0);
  }

  /** Number of requests with any evidence against them. */
  countSuspects(): number {
    return this.#ledger.listSuspects().length;
  }

  /** One check counts for all requests that were cut off at once. */
  #checkCrash(id: VmId, replica: Incarnation): Promise<boolean> {
    const { clock, hasCrashed } = this.#options;
    const known = this.#checks.get(replica);
    if (known !== undefined) return known;
    const check = hasCrashed(id);
    this.#checks.set(replica, check);
    clock.startTimer(CHECK_TTL_MS, () => this.#checks.delete(replica));
    return check;
  }

  /**
   * Incarnation of a replica that reports none: if it crashes again, it has
   * restarted in between.
   */
  #buildIncarnation(id: VmId): Incarnation {
    const generation = Math.floor(this.#options.clock.now() / MIN_RESTART_MS);
    return toId<Incarnation>(`${id}@${generation}`);
  }

  #announceSoon(fingerprint: RequestFingerprint): void {
    this.#unsent.add(fingerprint);
    if (this.#unsent.size > 1) return;
    this.#options.clock.startTimer(ANNOUNCE_DELAY_MS, () => {
      const entries = this.#ledger.buildEntries(this.#unsent);
      this.#unsent.clear();
      this.#options.announce(entries);
    });
  }

  #recordQuarantined(fingerprint: RequestFingerprint, from: string): void {
    const heldMs = this.getQuarantineMs(fingerprint);
    if (heldMs === 0) return;
    const [entry] = this.#ledger.buildEntries([fingerprint]);
    const replicas = entry![1].map(([replica]) => replica);
    this.#options.log.warn("request_quarantined", {
      fingerprint,
      crashes: replicas.length,
      replicas: replicas.slice(-HOLD_AFTER_CRASHES).join(),
      for_ms: Math.round(heldMs),
      from,
    });
  }

  #isRecentlyAnswered(fingerprint: RequestFingerprint): boolean {
    const answeredAt = this.#answers.get(fingerprint) ?? -Infinity;
    return answeredAt > this.#options.clock.now() - ANSWER_TRUST_MS;
  }

  #dropExpiredAnswers(): void {
    const since = this.#options.clock.now() - ANSWER_TRUST_MS;
    for (const [fingerprint, answeredAt] of this.#answers) {
      if (answeredAt > since) return;
      this.#answers.delete(fingerprint);
    }
  }
}

/** Whether the sender of an entry considers its request a suspect. */
function isSuspected([, crashes, answeredAgeMs]: SuspectEntry): boolean {
  return crashes.some(([, ageMs]) =>
    answeredAgeMs < 0 || ageMs < answeredAgeMs
  );
}
