/**
 * Which replicas of a large pool should hold a shared part of prompts.
 *
 * Pattern: prompts about hundreds of documents, several a second about each, on
 * many replicas. A replica caches some 100,000 tokens beside what it runs. If
 * each prompt goes wherever least is waiting, every replica reads or fetches
 * every part, what it cached a few seconds ago yields, and parts are read again
 * and again: in a flood over 98 replicas 15 of 72 million prompt tokens, over
 * 55 replicas 5 of 34 million.
 *
 * Why this prevents it: a part belongs to two replicas, the first in an order
 * by its name that all VMs work out alike. A replica then has tens of parts to
 * keep instead of all. Two to choose from even loads out nearly as well as all
 * would. Only where both are far behind do more join, for a part that is hot.
 *
 * @module
 */
import { computeRendezvousOrder } from "../rendezvous.ts";
import type { LoadedReplica } from "./interactive_replicas.ts";
import { countTokens } from "./load_totals.ts";

/**
 * Smaller pools hold all parts that are in use at several replicas each, and
 * have too few to choose from.
 */
const LEAST_POOL = 16;
/** Replicas of a part, and how many more join at a time. */
const HOLDERS = 2;
/**
 * Holders are far behind beyond so many times the pool's mean of tokens that
 * wait, and so many tokens: two prompts more than the others.
 */
const MOST_RATIO = 1.5;
const MOST_AHEAD_TOKENS = 12_000;

/** The holders of `part` among `replicas` of a pool; all in a small one. */
export function listHolders(
  replicas: readonly LoadedReplica[],
  part: string | undefined,
  poolSize: number,
): readonly LoadedReplica[] {
  if (part === undefined || poolSize < LEAST_POOL) return replicas;
  const byId = new Map(replicas.map((each) => [each.replica.id, each]));
  const ordered = computeRendezvousOrder(part, [...byId.keys()])
    .map((id) => byId.get(id)!);
  const mostTokens = computeMostTokens(replicas);
  const isInTime = ({ load }: LoadedReplica) => countTokens(load) <= mostTokens;
  const first = Math.max(0, ordered.findIndex(isInTime));
  const count = HOLDERS * (1 + Math.floor(first / HOLDERS));
  return ordered.slice(0, count);
}

function computeMostTokens(replicas: readonly LoadedReplica[]): number {
  const tokens = replicas.reduce(
    (sum, { load }) => sum + countTokens(load),
    0,
  );
  return MOST_RATIO * tokens / replicas.length + MOST_AHEAD_TOKENS;
}
