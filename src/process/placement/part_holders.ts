/**
 * Limits each shared part of prompts to a few replicas of a large pool.
 *
 * A replica caches some 100,000 tokens beside its running requests. If each of
 * many prompts about hundreds of documents goes to the least loaded replica,
 * every replica prefills or fetches every part, evicts what it cached seconds
 * ago, and prefills the same parts again.
 *
 * Therefore each part has two holders, the first in a rendezvous order by its
 * name that all VMs compute alike, and a replica has tens of parts to keep
 * instead of all. Two replicas to choose from balance the load nearly as well
 * as all would. More join only where a part is hot and both holders are far
 * behind.
 *
 * @module
 */
import { computeRendezvousOrder } from "../rendezvous.ts";
import type { LoadedReplica } from "./interactive_replicas.ts";
import { countTokens } from "./load_totals.ts";

/**
 * In smaller pools each part in use is cached at several replicas anyway, and
 * there are too few replicas to choose from.
 */
const MIN_POOL_SIZE = 16;
/** Holders of a part, and how many more join at a time. */
const HOLDERS_PER_PART = 2;
/**
 * A holder is far behind if it has more queued tokens than this ratio times the
 * mean of the pool plus this slack, which is two prompts.
 */
const MAX_QUEUE_RATIO = 1.5;
const QUEUE_SLACK_TOKENS = 12_000;

/**
 * Holders of `part` among the replicas of a pool; all replicas in a small pool,
 * or without a shared part.
 */
export function listHolders(
  replicas: readonly LoadedReplica[],
  part: string | undefined,
  poolSize: number,
): readonly LoadedReplica[] {
  if (part === undefined || poolSize < MIN_POOL_SIZE) return replicas;
  const byId = new Map(replicas.map((each) => [each.replica.id, each]));
  const ordered = computeRendezvousOrder(part, [...byId.keys()])
    .map((id) => byId.get(id)!);
  const maxTokens = computeMaxQueuedTokens(replicas);
  const isWithinLimit = ({ load }: LoadedReplica) =>
    countTokens(load) <= maxTokens;
  const first = Math.max(0, ordered.findIndex(isWithinLimit));
  const count = HOLDERS_PER_PART * (1 + Math.floor(first / HOLDERS_PER_PART));
  return ordered.slice(0, count);
}

function computeMaxQueuedTokens(replicas: readonly LoadedReplica[]): number {
  const tokens = replicas.reduce(
    (sum, { load }) => sum + countTokens(load),
    0,
  );
  return MAX_QUEUE_RATIO * tokens / replicas.length + QUEUE_SLACK_TOKENS;
}
