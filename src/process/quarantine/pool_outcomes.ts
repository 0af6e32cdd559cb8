/**
 * How requests with shared parts have ended at this VM lately, by pool.
 *
 * @module
 */
import type { PoolName } from "../../ids.ts";

/** Answers, and requests cut off, that are remembered per pool. */
const MAX_OUTCOMES = 400;
/**
 * By this multiple of the longest answer, an answer to a request that was sent
 * since has ended, the time before its first output included.
 */
const PATIENCE = 2;

interface Answer {
  /** As `Clock.now()`. */
  beganAt: number;
  durationMs: number;
}

interface Outcomes {
  answers: Answer[];
  /** `Clock.now()` of the crashes. */
  cutOff: number[];
}

/** Ends of requests, the last ones of each pool. */
export class PoolOutcomes {
  readonly #pools = new Map<PoolName, Outcomes>();

  static create(): PoolOutcomes {
    return new PoolOutcomes();
  }

  noteAnswered(pool: PoolName, answer: Answer): void {
    addLast(this.#get(pool).answers, answer);
  }

  /** Records a request that a crash cut off. */
  noteCutOff(pool: PoolName, at: number): void {
    addLast(this.#get(pool).cutOff, at);
  }

  /**
   * Share of the requests since `since` that crashes cut off; 1 while answers to
   * them may be under way.
   */
  computeCutOffShare(
    pool: PoolName,
    { since, now }: { since: number; now: number },
  ): number {
    const { answers, cutOff } = this.#get(pool);
    const longestMs = Math.max(...answers.map(({ durationMs }) => durationMs));
    if (!(now - since > PATIENCE * longestMs)) return 1;
    const answered = answers.filter(({ beganAt }) => beganAt > since).length;
    const lost = cutOff.filter((at) => at > since).length;
    return (lost + 1) / (answered + lost + 2);
  }

  #get(pool: PoolName): Outcomes {
    const outcomes = this.#pools.get(pool) ?? { answers: [], cutOff: [] };
    this.#pools.set(pool, outcomes);
    return outcomes;
  }
}

function addLast<T>(list: T[], item: T): void {
  list.push(item);
  if (list.length > MAX_OUTCOMES) list.shift();
}
