/**
 * Timeout for a promise.
 *
 * @module
 */
import type { Clock } from "./clock.ts";

/** Resolves like `promise`, or to undefined if it takes longer than `ms`. */
export function withTimeout<T>(
  promise: Promise<T>,
  ms: number,
  clock: Clock,
): Promise<T | undefined> {
  return new Promise((resolve, reject) => {
    const cancel = clock.startTimer(ms, () => resolve(undefined));
    promise.then(resolve, reject).finally(cancel);
  });
}
