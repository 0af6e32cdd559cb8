/**
 * Rendezvous hashing: every VM computes the same order, and an id that is added
 * or removed moves only its own keys.
 *
 * @module
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const GOLDEN_RATIO = 0x9e3779b1;

/** `ids` in the order in which they should own `key`, first choice first. */
export function computeRendezvousOrder<T extends string>(
  key: string,
  ids: readonly T[],
): T[] {
  const keyHash = computeHash(key);
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
  const keyHash = computeHash(key);
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
  const keyHash = computeHash(key);
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
  return computeMix(keyHash ^ Math.imul(computeHash(id), GOLDEN_RATIO));
}

/** FNV-1a over UTF-16 units, in 32 bits. */
function computeHash(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return computeMix(hash);
}

/** Finalizer of MurmurHash3: each input bit affects each output bit. */
function computeMix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
