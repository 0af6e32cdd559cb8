/**
 * Keeps requests that crash every replica that begins them away from the
 * others: the same request sent again, and others with the same part.
 *
 * @module
 */
import {
  type Incarnation,
  type PoolName,
  type RequestFingerprint,
} from "../../ids.ts";
import type { Clock } from "../clock.ts";
import {
  type DisconnectedReplica,
  Quarantine,
  type RequestHold,
  type RequestKeys,
} from "../crash_quarantine.ts";
import type { Log } from "../log.ts";
import type { Random } from "../random.ts";
import { CrashChecks, type CrashChecksOptions } from "./crash_checks.ts";
import { HOLD_AFTER_CRASHES } from "./crash_evidence.ts";
import { CrashLedger } from "./crash_ledger.ts";
import { PartQuarantine } from "./part_quarantine.ts";
import {
  type CrashNews,
  isEmptyNews,
  type SuspectEntry,
} from "./suspect_entry.ts";

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

const EMPTY_NEWS = { reports: [], answers: [] };

/** Options of `RequestQuarantine`. */
export interface RequestQuarantineOptions extends CrashChecksOptions {
  clock: Clock;
  log: Log;
  random: Random;
  /** Replicas of a pool that take new work. */
  countReplicas: (pool: PoolName) => number;
  /** Sends the evidence to the other VMs. */
  announce: (news: CrashNews) => void;
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
  readonly #checks: CrashChecks;
  readonly #parts: PartQuarantine;
  readonly #unsent = new Set<RequestFingerprint>();
  #unsentParts: Pick<CrashNews, "reports" | "answers"> = EMPTY_NEWS;
  #isAnnouncing = false;
  #refused = 0;

  constructor(options: RequestQuarantineOptions) {
    super();
    this.#options = options;
    this.#ledger = CrashLedger.create(options.clock);
    this.#checks = CrashChecks.create(options);
    this.#parts = PartQuarantine.create({
      ...options,
      announce: ({ reports = [], answers = [] }) => {
        this.#unsentParts = {
          reports: [...this.#unsentParts.reports, ...reports],
          answers: [...this.#unsentParts.answers, ...answers],
        };
        this.#announceSoon();
      },
      onHeld: ({ crashes }) =>
        crashes.forEach(({ replica }) => this.#ledger.noteExplained(replica)),
    });
  }

  static create(options: RequestQuarantineOptions): RequestQuarantine {
    return new RequestQuarantine(options);
  }

  /** Parts that are held, and which requests were refused because of them. */
  get parts(): PartQuarantine {
    return this.#parts;
  }

  /** Requests refused by their fingerprint since the start. */
  get refused(): number {
    return this.#refused;
  }

  /** Time for which the request itself is held; 0 if it is not. */
  getQuarantineMs(fingerprint: RequestFingerprint): number {
    return this.#ledger.getQuarantineMs(fingerprint);
  }

  override findHold(keys: RequestKeys): RequestHold | undefined {
    const partHold = this.#parts.findHold(keys);
    if (partHold !== undefined) return partHold;
    const leftMs = this.getQuarantineMs(keys.fingerprint);
    return leftMs > 0 ? { leftMs } : undefined;
  }

  override noteRefused({ part }: RequestHold): void {
    if (part === undefined) this.#refused += 1;
    else this.#parts.noteRefused(part);
  }

  override isSuspect({ fingerprint }: RequestKeys): boolean {
    return this.#ledger.isSuspect(fingerprint);
  }

  override isAccused(keys: RequestKeys): boolean {
    return this.#parts.isAccused(keys);
  }

  override async noteConnectionLoss(
    keys: RequestKeys,
    { id, incarnation, hadOutput, sentAt }: DisconnectedReplica,
  ): Promise<void> {
    const at = this.#options.clock.now();
    const replica = incarnation ?? this.#checks.buildIncarnation(id);
    const noteCrash = () => {
      this.#parts.noteCrash(keys, { replica, at, sentAt });
      this.#noteCrash(keys.fingerprint, replica, hadOutput);
    };
    if (await this.#checks.check(id, replica)) return noteCrash();
    // The caller need not wait for what few checks find.
    void this.#checks.checkAgain(id, replica).then((hasCrashed) => {
      if (hasCrashed) noteCrash();
    });
  }

  #noteCrash(
    fingerprint: RequestFingerprint,
    replica: Incarnation,
    hadOutput: boolean,
  ): void {
    if (this.#isRecentlyAnswered(fingerprint)) return;
    const wasHeld = this.getQuarantineMs(fingerprint) > 0;
    if (!this.#ledger.addCrash(fingerprint, replica, hadOutput)) return;
    this.#options.log.info("crash_noted", {
      fingerprint,
      replica,
      had_output: hadOutput,
      crashes: this.#ledger.countCrashes(fingerprint),
    });
    if (!wasHeld) this.#recordQuarantined(fingerprint, "self");
    this.#announceRequest(fingerprint);
  }

  override noteAnswered(keys: RequestKeys, beganAt: number): void {
    const { fingerprint } = keys;
    const { clock, log } = this.#options;
    this.#parts.noteAnswered(keys, beganAt);
    this.#answers.delete(fingerprint);
    this.#answers.set(fingerprint, clock.now());
    this.#dropExpiredAnswers();
    const crashes = this.#ledger.countCrashes(fingerprint);
    if (crashes === 0) return;
    this.#ledger.noteAnswered(fingerprint);
    log.info("suspect_cleared", { fingerprint, crashes });
    // A single crash does not hold a request, and most requests that one cuts
    // off are answered soon after.
    if (crashes > 1) this.#announceRequest(fingerprint);
  }

  /**
   * Merges the evidence of another VM; returns what is newer here, for that VM.
   */
  mergeNews(
    from: string,
    { entries, reports, answers }: CrashNews,
  ): CrashNews {
    return {
      entries: this.#mergeEntries(from, entries),
      reports: [],
      answers: this.#parts.mergeNews(from, { reports, answers }),
    };
  }

  #mergeEntries(
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
   * Evidence against the requests with the most crashes, and that by which parts
   * are held, for at most `count` of each.
   */
  listNews(count: number): CrashNews {
    const suspects = this.#ledger.listSuspects().slice(0, count);
    return {
      entries: this.#ledger.buildEntries(suspects),
      ...this.#parts.listNews(count),
    };
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

  #announceRequest(fingerprint: RequestFingerprint): void {
    this.#unsent.add(fingerprint);
    this.#announceSoon();
  }

  #announceSoon(): void {
    if (this.#isAnnouncing) return;
    this.#isAnnouncing = true;
    this.#options.clock.startTimer(ANNOUNCE_DELAY_MS, () => {
      const news = {
        entries: this.#ledger.buildEntries(this.#unsent),
        ...this.#unsentParts,
      };
      this.#isAnnouncing = false;
      this.#unsent.clear();
      this.#unsentParts = EMPTY_NEWS;
      if (!isEmptyNews(news)) this.#options.announce(news);
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
