/**
 * Evidence against parts of prompts under which replicas crashed, as one VM
 * knows it.
 *
 * @module
 */
import type { Incarnation, PartKey, PoolName } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import {
  type Culprit,
  type CulpritEvidence,
  listCompany,
  listCulprits,
  listUnproven,
  type PoolCrash,
  type Unproven,
} from "./culprits.ts";
import { listSuccessive, PartEvidence } from "./part_evidence.ts";
import { PoolOutcomes } from "./pool_outcomes.ts";
import type { CrashReport, PartAnswer } from "./suspect_entry.ts";

const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 60 * MS_PER_MINUTE;
/** Parts with evidence; those with a single crash are evicted first. */
const MAX_PARTS = 4_000;
const EVICTED_AT_ONCE = 400;
/** Parts of which the last answer is remembered; some 2 MB. */
const MAX_ANSWERS = 10_000;
/** Accuracy with which answers before any crash are remembered. */
const ANSWER_RESOLUTION_MS = 1_000;
/** Crashes of the last time. */
const MAX_CRASHES = 200;
/** Crashes of one part that other VMs are told of, enough to hold it. */
const MAX_TOLD_CRASHES = 8;
/** How long evidence lasts against a part that is not held. */
const EVIDENCE_TTL_MS = 10 * MS_PER_MINUTE;
/**
 * How long a part is held after the last crash; doubled for each further crash,
 * so that a part that never stops crashes replicas ever more seldom.
 */
const FIRST_HOLD_MS = 10 * MS_PER_MINUTE;
const MAX_HOLD_MS = 24 * MS_PER_HOUR;
/** How long a part is held on trial after its last crash. */
const TRIAL_HOLD_MS = 10_000;
/** Crashes of the first hold. */
const FIRST_HOLD_CRASHES = 5;
/** It lasts longer once held, so that one more crash holds it again. */
const HELD_EVIDENCE_TTL_MS = 2 * MAX_HOLD_MS;
const EXPIRY_INTERVAL_MS = 10_000;

/** Parts that are not sent together. */
export interface PartHold extends Culprit {
  /** `Clock.now()` at which it ends. */
  heldUntil: number;
}

/** Evidence by part. */
export class PartLedger {
  readonly #clock: Clock;
  /** In order of the last evidence. */
  readonly #evidence = new Map<PartKey, PartEvidence>();
  readonly #crashes = new Map<Incarnation, PoolCrash>();
  /** When answers of this VM began, the last one of each part. */
  readonly #answers = new Map<PartKey, number>();
  #holds: PartHold[] = [];
  #expiredAt = -Infinity;

  /** How requests of this VM ended. */
  readonly outcomes = PoolOutcomes.create();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PartLedger {
    return new PartLedger(clock);
  }

  /** Number of parts with evidence against them. */
  get size(): number {
    return this.#evidence.size;
  }

  /** Merges a report; returns whether any of it is new. */
  mergeReport(report: CrashReport): boolean {
    const [replica, ageMs, sentAgeMs, pool, parts, request, replicas] = report;
    const now = this.#clock.now();
    const at = now - ageMs;
    const sentAt = now - sentAgeMs;
    const crash = { replica, at, sentAt, request, replicas };
    let isNew = false;
    for (const part of parts) {
      const evidence = this.#evidence.get(part) ??
        this.#createEvidence(part, pool);
      const isFirst = !evidence.hasCrash(replica);
      if (!evidence.addCrash(crash, parts)) continue;
      isNew = true;
      this.#evidence.delete(part);
      this.#evidence.set(part, evidence);
      if (isFirst) this.#countPart(replica, { pool, at });
    }
    this.#dropOldest();
    return isNew;
  }

  /**
   * Records a complete answer of this VM that began at `beganAt`; returns whether
   * it clears the part of crashes.
   */
  addAnswer(part: PartKey, beganAt: number): boolean {
    const known = this.#answers.get(part) ?? -Infinity;
    if (beganAt - known > ANSWER_RESOLUTION_MS) {
      this.#answers.delete(part);
      this.#answers.set(part, beganAt);
      this.#dropOldestAnswer();
    }
    return this.noteAnswered(part, beganAt);
  }

  /** As `addAnswer`, for an answer of any VM. */
  noteAnswered(part: PartKey, beganAt: number): boolean {
    const evidence = this.#evidence.get(part);
    if (evidence === undefined || beganAt <= evidence.answeredAt) return false;
    const before = evidence.listCrashes().length;
    evidence.noteAnswered(beganAt);
    return evidence.listCrashes().length < before;
  }

  /** When the last known answer to the part began; -Infinity for none. */
  getAnsweredAt(part: PartKey): number {
    return this.#evidence.get(part)?.answeredAt ?? -Infinity;
  }

  /** Crashes under the part since its last complete answer. */
  countCrashes(part: PartKey): number {
    return this.#evidence.get(part)?.listCrashes().length ?? 0;
  }

  /** The hold that a request with these parts falls under, if any. */
  findHold(parts: readonly PartKey[]): PartHold | undefined {
    if (this.#holds.length === 0) return undefined;
    return this.listHolds().find(({ part, company }) =>
      parts.includes(part) && company.every((each) => parts.includes(each))
    );
  }

  /**
   * Whether a request with these parts may be what crashed two replicas, one
   * after the other.
   */
  isAccused(parts: readonly PartKey[]): boolean {
    return parts.some((part) => {
      const evidence = this.#evidence.get(part);
      if (evidence === undefined || evidence.size < 2) return false;
      const crashes = listSuccessive(evidence.listCrashes());
      const [first] = crashes;
      if (first === undefined) return false;
      const allowed = evidence.hasAnswerBefore(first) ? 2 : 1;
      return crashes.length > allowed &&
        listCompany(evidence, this.#evidence)
          .every((each) => parts.includes(each));
    });
  }

  /** Parts that are held now, as of the last update. */
  listHolds(): PartHold[] {
    const now = this.#clock.now();
    return this.#holds.filter(({ heldUntil }) => heldUntil > now);
  }

  /** Parts that were in several crashes and are not held. */
  listUnproven(): Unproven[] {
    return listUnproven(this.#buildContext(), this.listHolds());
  }

  /** Decides anew which parts are held. */
  updateHolds(): void {
    const now = this.#clock.now();
    this.#holds = listCulprits(this.#buildContext()).map((culprit) => ({
      ...culprit,
      heldUntil: computeHeldUntil(culprit),
    }));
    if (now - this.#expiredAt < EXPIRY_INTERVAL_MS) return;
    this.#expiredAt = now;
    this.#dropExpired(now);
  }

  /** Reports by which another VM holds the same parts. */
  buildReports(holds: readonly PartHold[]): CrashReport[] {
    const now = this.#clock.now();
    return holds.flatMap(({ part, company, crashes }) => {
      const { pool } = this.#evidence.get(part)!;
      const told = listSuccessive(crashes).slice(-MAX_TOLD_CRASHES);
      return told.map((crash): CrashReport => [
        crash.replica,
        Math.round(now - crash.at),
        Math.round(now - crash.sentAt),
        pool,
        [part, ...company],
        crash.request,
        crash.replicas,
      ]);
    });
  }

  /** The last known answers to these parts. */
  buildAnswers(parts: Iterable<PartKey>): PartAnswer[] {
    const now = this.#clock.now();
    const answers: PartAnswer[] = [];
    for (const part of parts) {
      const answeredAt = this.getAnsweredAt(part);
      if (!Number.isFinite(answeredAt)) continue;
      answers.push([part, Math.round(now - answeredAt)]);
    }
    return answers;
  }

  #buildContext(): CulpritEvidence {
    const now = this.#clock.now();
    return {
      now,
      evidence: this.#evidence,
      crashes: this.#crashes,
      computeCutOffShare: (pool, since) =>
        this.outcomes.computeCutOffShare(pool, { since, now }),
    };
  }

  #createEvidence(part: PartKey, pool: PoolName): PartEvidence {
    const evidence = PartEvidence.create(part, pool);
    evidence.noteAnswered(this.#answers.get(part) ?? -Infinity);
    return evidence;
  }

  #dropOldestAnswer(): void {
    if (this.#answers.size <= MAX_ANSWERS) return;
    const [oldest] = this.#answers.keys();
    this.#answers.delete(oldest!);
  }

  #countPart(
    replica: Incarnation,
    { pool, at }: { pool: PoolName; at: number },
  ): void {
    const crash = this.#crashes.get(replica) ?? { pool, at, parts: 0 };
    crash.parts += 1;
    this.#crashes.set(replica, crash);
    if (this.#crashes.size <= MAX_CRASHES) return;
    const [oldest] = this.#crashes.keys();
    this.#crashes.delete(oldest!);
  }

  #isHeld(part: PartKey): boolean {
    return this.#holds.some((each) =>
      each.part === part || each.company.includes(part)
    );
  }

  #dropOldest(): void {
    if (this.#evidence.size <= MAX_PARTS + EVICTED_AT_ONCE) return;
    const parts = [...this.#evidence.values()];
    const single = parts.filter((each) => each.listCrashes().length < 2);
    const others = parts.filter((each) => !this.#isHeld(each.part));
    for (const each of [...single, ...others, ...parts]) {
      if (this.#evidence.size <= MAX_PARTS) return;
      this.#evidence.delete(each.part);
    }
  }

  #dropExpired(now: number): void {
    for (const [part, evidence] of this.#evidence) {
      const last = Math.max(
        evidence.answeredAt,
        evidence.listCrashes().at(-1)?.at ?? -Infinity,
      );
      const ttlMs = this.#isHeld(part) ? HELD_EVIDENCE_TTL_MS : EVIDENCE_TTL_MS;
      if (now - last > ttlMs) this.#evidence.delete(part);
    }
  }
}

function computeHeldUntil({ crashes, isOnTrial }: Culprit): number {
  if (isOnTrial) return crashes.at(-1)!.at + TRIAL_HOLD_MS;
  const doublings = Math.max(0, crashes.length - FIRST_HOLD_CRASHES);
  const holdMs = Math.min(MAX_HOLD_MS, FIRST_HOLD_MS * 2 ** doublings);
  return crashes.at(-1)!.at + holdMs;
}
