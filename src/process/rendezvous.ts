/**
 * Rendezvous hashing: every VM computes the same order, and an id that is added
 * or removed moves only its own keys.
 *
 * @module
 */

import { computeMix, computeTextHash } from "./hash.ts";

const GOLDEN_RATIO = 0x9e3779b1;

/** `ids` in the order in which they should own `key`, first choice first. */
export function computeRendezvousOrder<T extends string>(
  key: string,
  ids: readonly T[],
): T[] {
  const keyHash = computeTextHash(key);
  return ids
    .map((id) => ({ id, score: computeScore(keyHash, id) }))
    .sort(compareScored)
    .map((scored) => scored.id);
}

/** The first choice for `key`, without sorting the others. */
export function pickRendezvousFirst<T extends string>(
  key: string,
  ids: Iterable<T>,
): T | undefined {
  const keyHash = computeTextHash(key);
  let best: Scored<T> | undefined;
  for (const id of ids) {
    const scored = { id, score: computeScore(keyHash, id) };
    if (best === undefined || compareScored(scored, best) < 0) best = scored;
  }
  return best?.id;
}

/** Number of `others` that come before `id` in the order for `key`. */
export function computeRendezvousRank<T extends string>(
  key: string,
  id: T,
  others: readonly T[],
): number {
  const keyHash = computeTextHash(key);
  const own = { id, score: computeScore(keyHash, id) };
  return others.filter((other) =>
    compareScored({ id: other, score: computeScore(keyHash, other) }, own) < 0
  ).length;
}

interface Scored<T extends string> {
  id: T;
  score: number;
}

function compareScored(left: Scored<string>, right: Scored<string>): number {
  if (left.score !== right.score) return right.score - left.score;
  if (left.id === right.id) return 0;
  return left.id < right.id ? -1 : 1;
}

function computeScore(keyHash: number, id: string): number {
  return computeMix(keyHash ^ Math.imul(computeTextHash(id), GOLDEN_RATIO));
}
