/**
 * Which answers to parts all VMs know of, so that few VMs tell the same.
 *
 * @module
 */
import type { PartKey } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Random } from "../random.ts";
import type { PartLedger } from "./part_ledger.ts";
import type { PartAnswer } from "./suspect_entry.ts";

/** Crashes at which other VMs are told whether a part was answered lately. */
export const TOLD_CRASHES = 2;
/**
 * Several VMs know of an answer; within this time, one of them tells the others.
 */
const MAX_TELL_DELAY_MS = 50;
/** A difference in age of an answer that makes none to a decision. */
const ANSWER_TOLERANCE_MS = 5_000;
/** Parts of which it is remembered what other VMs know. */
const MAX_TOLD = 4_000;

/** Options of `ToldAnswers`. */
export interface ToldAnswersOptions {
  clock: Clock;
  random: Random;
  ledger: PartLedger;
  /** Tells the other VMs. */
  announce: (answers: PartAnswer[]) => void;
}

/** Tells other VMs of answers that they may not know of. */
export class ToldAnswers {
  readonly #options: ToldAnswersOptions;
  /** When answers began that all VMs know of. */
  readonly #told = new Map<PartKey, number>();

  constructor(options: ToldAnswersOptions) {
    this.#options = options;
  }

  static create(options: ToldAnswersOptions): ToldAnswers {
    return new ToldAnswers(options);
  }

  /** Records what another VM told to all. */
  noteTold(part: PartKey, answeredAt: number): void {
    const known = this.#told.get(part) ?? -Infinity;
    this.#told.delete(part);
    this.#told.set(part, Math.max(known, answeredAt));
    if (this.#told.size <= MAX_TOLD) return;
    const [oldest] = this.#told.keys();
    this.#told.delete(oldest!);
  }

  /** Tells the last answers to the parts at once. */
  announce(parts: readonly PartKey[]): void {
    const { clock, ledger, announce } = this.#options;
    const answers = ledger.buildAnswers(parts);
    const now = clock.now();
    answers.forEach(([part, ageMs]) => this.noteTold(part, now - ageMs));
    announce(answers);
  }

  /**
   * Tells of answers to parts that were in several crashes, unless another VM
   * does so first.
   */
  announceUntold(parts: readonly PartKey[]): void {
    const { clock, random, ledger } = this.#options;
    const repeated = parts.filter((part) =>
      ledger.countCrashes(part) >= TOLD_CRASHES && this.#isUntold(part)
    );
    if (repeated.length === 0) return;
    clock.startTimer(random.next() * MAX_TELL_DELAY_MS, () => {
      const untold = repeated.filter((part) => this.#isUntold(part));
      if (untold.length > 0) this.announce(untold);
    });
  }

  /** Answers that began much later than those that another VM knows of. */
  listNewer(
    parts: ReadonlySet<PartKey>,
    told: readonly PartAnswer[],
  ): PartAnswer[] {
    const { ledger } = this.#options;
    const ages = new Map(told);
    return ledger.buildAnswers(parts).filter(([part, ageMs]) => {
      const toldMs = ages.get(part) ?? Infinity;
      return ageMs < toldMs - ANSWER_TOLERANCE_MS &&
        ledger.countCrashes(part) === 0;
    });
  }

  /** Whether this VM knows of a much later answer than the others. */
  #isUntold(part: PartKey): boolean {
    return this.#options.ledger.getAnsweredAt(part) >
      (this.#told.get(part) ?? -Infinity) + ANSWER_TOLERANCE_MS;
  }
}
