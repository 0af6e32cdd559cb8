/**
 * Whether a replica may take one more prompt whose stream has to keep its pace.
 *
 * Pattern: a flood of long prompts, for seconds as many as a pool can read. An
 * engine makes one token of each of its streams between two chunks of prompts.
 * While it has prompts to read all the time, each token takes a chunk, 70 to
 * 100 ms instead of 6: a stream of 52 tokens lasts 4 to 5 s and one of 120 some
 * 10 s, they pause at each event for longer than callers accept, hold their
 * slots, and reach no end before deadlines of 5 and 12 s. One notices by
 * requests that reached a replica at once and ran until their deadline: in such
 * a flood over 55 replicas 785 of 7,935, and 2,537 that came late, while none
 * was refused.
 *
 * Why this prevents it: replicas are given as much to read as leaves time for
 * their streams. Where no replica has room, the next prompt is refused at once,
 * with a time to come back, instead of making all of them late.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/**
 * Prefill may take this share of a replica's time. With a step of 6 ms four
 * tokens, an event, then take 24 ms of each 100, so an event waits for one
 * chunk or two.
 */
const SUSTAINED_SHARE = 0.75;
/**
 * Prompts may come this much ahead of that, in milliseconds of prefill: some at
 * a time, which are read before streams come late. The more urgent ones may
 * come further ahead, so that none of them is refused while less urgent ones
 * find room.
 */
const LEAST_AHEAD_MS = 200;
const AHEAD_PER_LEVEL_MS = 100;
/** Levels of priority that are told apart here, 0 being the most urgent. */
const LEVELS = 3;

interface Budget {
  /** Prefill beyond the sustained share, in milliseconds. */
  aheadMs: number;
  countedAt: number;
}

/** Prefill that replicas were given of late, against what they bear. */
export class PrefillBudget {
  readonly #clock: Clock;
  readonly #budgets = new Map<VmId, Budget>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): PrefillBudget {
    return new PrefillBudget(clock);
  }

  /**
   * Whether one more prompt finds its time there, however long it is: long ones
   * would else be the only ones that are turned away.
   */
  hasRoom(replica: VmId, priority: number): boolean {
    const levels = Math.max(0, LEVELS - priority);
    const mostMs = LEAST_AHEAD_MS + AHEAD_PER_LEVEL_MS * levels;
    return this.#computeAheadMs(replica) <= mostMs;
  }

  /** A prompt goes there whose prefill takes `prefillMs`. */
  addPrefill(replica: VmId, prefillMs: number): void {
    this.#budgets.set(replica, {
      aheadMs: this.#computeAheadMs(replica) + prefillMs,
      countedAt: this.#clock.now(),
    });
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#budgets.keys()) {
      if (!isListed(replica)) this.#budgets.delete(replica);
    }
  }

  #computeAheadMs(replica: VmId): number {
    const budget = this.#budgets.get(replica);
    if (budget === undefined) return 0;
    const passedMs = this.#clock.now() - budget.countedAt;
    return Math.max(0, budget.aheadMs - SUSTAINED_SHARE * passedMs);
  }
}
