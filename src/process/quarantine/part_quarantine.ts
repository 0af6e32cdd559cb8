/**
 * Keeps requests away from replicas that hold a part under which replicas crash.
 *
 * @module
 */
import type { Incarnation, PartKey, PoolName } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { RequestHold, RequestKeys } from "../crash_quarantine.ts";
import type { Log } from "../log.ts";
import type { Random } from "../random.ts";
import { OBJECTION_MS } from "./culprits.ts";
import { type PartHold, PartLedger } from "./part_ledger.ts";
import type { CrashNews, CrashReport, PartAnswer } from "./suspect_entry.ts";
import { TOLD_CRASHES, ToldAnswers } from "./told_answers.ts";

/** Reports of one crash arrive one after the other, and are judged together. */
const UPDATE_DELAY_MS = 10;

/** Options of `PartQuarantine`. */
export interface PartQuarantineOptions {
  clock: Clock;
  log: Log;
  random: Random;
  /** Replicas of a pool that take new work. */
  countReplicas: (pool: PoolName) => number;
  /** Tells the other VMs. */
  announce: (news: Partial<CrashNews>) => void;
  /** Called when a hold is new, or has more crashes. */
  onHeld: (hold: PartHold) => void;
}

/** A crash that cut a request off. */
export interface RequestCrash {
  replica: Incarnation;
  /** As `Clock.now()`. */
  at: number;
  /** When the request was sent to the replica. */
  sentAt: number;
}

/** Quarantine of parts at one VM, by the evidence of all VMs. */
export class PartQuarantine {
  readonly #options: PartQuarantineOptions;
  readonly #ledger: PartLedger;
  /** Parts whose holds were logged, with the number of their crashes. */
  #recorded = new Map<PartKey, number>();
  /** Parts that were logged as not held, with the number of their crashes. */
  #unproven = new Map<PartKey, number>();
  /** Requests refused because of held parts. */
  readonly #refused = new Map<PartKey, number>();
  #refusedInAll = 0;
  /** From whom the evidence is that an update is due for. */
  #updateFrom: string | undefined;
  readonly #told: ToldAnswers;

  constructor(options: PartQuarantineOptions) {
    this.#options = options;
    this.#ledger = PartLedger.create(options.clock);
    this.#told = ToldAnswers.create({
      ...options,
      ledger: this.#ledger,
      announce: (answers) => options.announce({ answers }),
    });
  }

  static create(options: PartQuarantineOptions): PartQuarantine {
    return new PartQuarantine(options);
  }

  /** The hold that the request falls under, if any. */
  findHold({ parts }: RequestKeys): RequestHold | undefined {
    const hold = this.#ledger.findHold(parts);
    if (hold === undefined) return undefined;
    const leftMs = hold.heldUntil - this.#options.clock.now();
    return { leftMs, part: hold.part };
  }

  /** Counts a request that was refused because the part is held. */
  noteRefused(part: PartKey): void {
    this.#refused.set(part, this.countRefused(part) + 1);
    this.#refusedInAll += 1;
  }

  /** Requests refused because of the part since the start. */
  countRefused(part: PartKey): number {
    return this.#refused.get(part) ?? 0;
  }

  /** Requests refused because of any part since the start. */
  get refused(): number {
    return this.#refusedInAll;
  }

  /** See `PartLedger.isAccused`. */
  isAccused({ parts }: RequestKeys): boolean {
    return this.#ledger.isAccused(parts);
  }

  /** Parts that are held now. */
  listHolds(): PartHold[] {
    return this.#ledger.listHolds();
  }

  /**
   * Ends a hold at all VMs by an operator's word, as an answer would; returns
   * whether the part was held.
   */
  endHold(part: PartKey): boolean {
    if (!this.listHolds().some((hold) => hold.part === part)) return false;
    const crashes = this.#ledger.countCrashes(part);
    this.#ledger.noteAnswered(part, this.#options.clock.now());
    this.#noteCleared(part, crashes, "operator");
    this.#told.announce([part]);
    return true;
  }

  /** Number of parts with evidence against them. */
  countAccused(): number {
    return this.#ledger.size;
  }

  /** Records the crash of a replica that ran a request of this VM. */
  noteCrash(
    { pool, parts, fingerprint }: RequestKeys,
    crash: RequestCrash,
  ): void {
    if (parts.length === 0 || pool === undefined) return;
    const { clock, log, announce, countReplicas } = this.#options;
    const now = clock.now();
    const report: CrashReport = [
      crash.replica,
      Math.round(now - crash.at),
      Math.round(now - crash.sentAt),
      pool,
      [...parts],
      fingerprint,
      countReplicas(pool),
    ];
    this.#ledger.outcomes.noteCutOff(pool, crash.at);
    if (!this.#ledger.mergeReport(report)) return;
    log.info("parts_accused", {
      replica: crash.replica,
      parts: parts.map((part) => `${part}:${this.#ledger.countCrashes(part)}`)
        .join(),
    });
    announce({ reports: [report] });
    this.#noteMerged(parts, "self");
  }

  /** Records a complete answer to a request of this VM. */
  noteAnswered({ parts, pool }: RequestKeys, beganAt: number): void {
    if (parts.length === 0) return;
    if (pool !== undefined) {
      const durationMs = this.#options.clock.now() - beganAt;
      this.#ledger.outcomes.noteAnswered(pool, { beganAt, durationMs });
    }
    const held = this.#listHeldParts();
    const cleared = parts.filter((part) => {
      const crashes = this.#ledger.countCrashes(part);
      if (!this.#ledger.addAnswer(part, beganAt)) return false;
      this.#noteCleared(part, crashes, "self");
      // One crash holds nothing, and most parts are answered soon after it.
      return crashes >= TOLD_CRASHES || held.has(part);
    });
    if (cleared.length > 0) this.#told.announce(cleared);
  }

  /** Merges what another VM told; returns newer answers, for that VM. */
  mergeNews(
    from: string,
    { reports, answers }: Pick<CrashNews, "reports" | "answers">,
  ): PartAnswer[] {
    const now = this.#options.clock.now();
    for (const [part, ageMs] of answers) {
      const crashes = this.#ledger.countCrashes(part);
      this.#told.noteTold(part, now - ageMs);
      if (!this.#ledger.noteAnswered(part, now - ageMs)) continue;
      this.#noteCleared(part, crashes, from);
    }
    const parts = new Set<PartKey>();
    for (const report of reports) {
      if (!this.#ledger.mergeReport(report)) continue;
      report[4].forEach((part) => parts.add(part));
    }
    this.#noteMerged([...parts], from);
    const known = reports.flatMap(([, , , , each]) => each);
    return this.#told.listNewer(new Set(known), answers);
  }

  /** Evidence by which another VM holds what this one holds. */
  listNews(count: number): Pick<CrashNews, "reports" | "answers"> {
    const holds = this.listHolds().slice(0, count);
    const parts = new Set(
      holds.flatMap(({ part, company }) => [part, ...company]),
    );
    return {
      reports: this.#ledger.buildReports(holds),
      answers: this.#ledger.buildAnswers(parts),
    };
  }

  #noteMerged(parts: readonly PartKey[], from: string): void {
    if (parts.length === 0) return;
    this.#updateSoon(from);
    this.#told.announceUntold(parts);
    if (parts.every((part) => this.#ledger.countCrashes(part) < 2)) return;
    this.#options.clock.startTimer(
      OBJECTION_MS + 1,
      () => this.#updateSoon(from),
    );
  }

  /** Messages may have been lost by which the others would hold it too. */
  #announceHold(hold: PartHold): void {
    const { part, company } = hold;
    this.#options.announce({
      reports: this.#ledger.buildReports([hold]),
      answers: this.#ledger.buildAnswers([part, ...company]),
    });
  }

  #noteCleared(part: PartKey, crashes: number, from: string): void {
    const level = crashes >= TOLD_CRASHES ? "info" : "debug";
    this.#options.log.write(level, "part_cleared", { part, crashes, from });
    if (crashes >= TOLD_CRASHES) this.#updateSoon(from);
  }

  #listHeldParts(): Set<PartKey> {
    return new Set(
      this.listHolds().flatMap(({ part, company }) => [part, ...company]),
    );
  }

  #updateSoon(from: string): void {
    const isScheduled = this.#updateFrom !== undefined;
    this.#updateFrom = this.#updateFrom === "self" ? "self" : from;
    if (isScheduled) return;
    this.#options.clock.startTimer(UPDATE_DELAY_MS, () => {
      const by = this.#updateFrom ?? from;
      this.#updateFrom = undefined;
      this.#ledger.updateHolds();
      this.#recordHolds(by);
      this.#recordUnproven();
    });
  }

  #recordUnproven(): void {
    const recorded = new Map<PartKey, number>();
    for (const each of this.#ledger.listUnproven()) {
      const { part, crashes, hits, misses, share, error, hasRival } = each;
      recorded.set(part, crashes);
      if (this.#unproven.get(part) === crashes) continue;
      this.#options.log.info("part_not_held", {
        part,
        crashes,
        hits,
        misses,
        share: Number(share.toFixed(3)),
        error: Number(error.toPrecision(2)),
        has_rival: hasRival,
      });
    }
    this.#unproven = recorded;
  }

  #recordHolds(from: string): void {
    const { log, clock, onHeld } = this.#options;
    const recorded = new Map<PartKey, number>();
    for (const hold of this.listHolds()) {
      const { part, company, crashes, heldUntil } = hold;
      const known = this.#recorded.get(part);
      recorded.set(part, crashes.length);
      if (known === crashes.length) continue;
      onHeld(hold);
      if (known !== undefined) continue;
      log.warn("part_quarantined", {
        part,
        company: company.join(),
        crashes: crashes.length,
        replicas: crashes.map(({ replica }) => replica).join(),
        for_ms: Math.round(heldUntil - clock.now()),
        from,
      });
      if (from === "self") this.#announceHold(hold);
    }
    for (const part of this.#recorded.keys()) {
      if (!recorded.has(part)) log.info("part_released", { part, from });
    }
    this.#recorded = recorded;
  }
}
