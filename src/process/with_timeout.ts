/**
 * A bound on how long an answer is waited for.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** What `answer` gives within `ms`; undefined when it takes longer. */
export function withTimeout<T>(
  answer: Promise<T>,
  ms: number,
  clock: Clock,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = clock.startTimer(ms, () => resolve(undefined));
    answer.then(resolve, reject).finally(cancel);
  });
}
