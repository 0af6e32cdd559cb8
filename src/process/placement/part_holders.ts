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
 * instead of all. More join where a part is hot: a prompt that would wait longer
 * at both holders than prefilling the part elsewhere takes is better off
 * elsewhere, even though the part is then cached once more.
 *
 * @module
 */
import { computeRendezvousOrder } from "../rendezvous.ts";
import type { LoadedReplica } from "./interactive_replicas.ts";
import { countTokens } from "./load_totals.ts";
import type { ReplicaSpeeds } from "./replica_speed.ts";

/**
 * In smaller pools each part in use is cached at several replicas anyway, and
 * there are too few replicas to choose from.
 */
const MIN_POOL_SIZE = 16;
/** Holders of a part, and how many more join at a time. */
const HOLDERS_PER_PART = 2;
/**
 * Mean wait of a pool up to which its prompts can be on time. Beyond it all are
 * late, and what counts is that no part is prefilled twice.
 */
export const CALM_QUEUE_MS = 500;
/**
 * Beyond a calm queue, more holders join only at this ratio to the mean wait.
 */
const MAX_WAIT_RATIO = 1.5;

/** The last part of a prompt that other prompts share. */
export interface SharedPart {
  id: string;
  tokens: number;
}

/** Whether parts have holders in a pool of this size. */
export function hasHolders(poolSize: number): boolean {
  return poolSize >= MIN_POOL_SIZE;
}

/**
 * Holders of `part` among the replicas of a pool; all replicas in a small pool,
 * or without a shared part.
 */
export function listHolders(
  replicas: readonly LoadedReplica[],
  part: SharedPart | undefined,
  { poolSize, speeds }: { poolSize: number; speeds: ReplicaSpeeds },
): readonly LoadedReplica[] {
  if (part === undefined || !hasHolders(poolSize)) return replicas;
  const byId = new Map(replicas.map((each) => [each.replica.id, each]));
  const ordered = computeRendezvousOrder(part.id, [...byId.keys()])
    .map((id) => byId.get(id)!);
  const maxWaitMs = computeMaxWaitMs(replicas, part, speeds);
  const first = Math.max(
    0,
    ordered.findIndex((each) => computeWaitMs(each, speeds) <= maxWaitMs),
  );
  const count = HOLDERS_PER_PART * (1 + Math.floor(first / HOLDERS_PER_PART));
  return ordered.slice(0, count);
}

function computeMaxWaitMs(
  replicas: readonly LoadedReplica[],
  part: SharedPart,
  speeds: ReplicaSpeeds,
): number {
  const totalMs = replicas.reduce(
    (sum, each) => sum + computeWaitMs(each, speeds),
    0,
  );
  const meanMs = totalMs / replicas.length;
  const ratio = meanMs > CALM_QUEUE_MS ? MAX_WAIT_RATIO : 1;
  return ratio * meanMs + part.tokens * speeds.typicalMsPerToken;
}

function computeWaitMs(
  { replica, load }: LoadedReplica,
  speeds: ReplicaSpeeds,
): number {
  return countTokens(load) * speeds.getMsPerToken(replica.id);
}
