/**
 * Chooses the replica for a request.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import { canProbe } from "./ejection.ts";
import type { Replica } from "./replica.ts";

/**
 * A replica is chosen for its prefix cache only while its load is below this
 * multiple of the mean. Otherwise all requests with a popular prefix would go
 * to one replica while others are idle.
 */
const MAX_LOAD_RATIO = 1.25;
/** Minimum cached share of the prompt that justifies uneven load. */
const MIN_OVERLAP = 0.2;

/** The requirements of a request on its replica. */
export interface ReplicaRequirements {
  model: string | undefined;
  adapter: string | undefined;
  prefixes: readonly string[];
  /** Replicas that must not be chosen. */
  avoid: readonly VmId[];
  /** Whether the request may serve as a probe of an ejected replica. */
  mayProbe: boolean;
  prefixAffinity: boolean;
}

/**
 * Returns the best replica that has a free slot and accepts requests now, or
 * undefined if there is none.
 */
export function chooseReplica(
  replicas: readonly Replica[],
  options: { requirements: ReplicaRequirements; now: number },
): Replica | undefined {
  const { requirements, now } = options;
  const capable = replicas.filter((replica) => canServe(replica, requirements));
  const accepting = capable.filter((replica) => replica.isAccepting(now));
  // A request that must not be repeated is used as a probe only if every
  // capable replica is ejected: only a probe can return one to service, so the
  // request would otherwise wait forever.
  const isLastResort = capable.every((replica) => replica.ejected);
  if (requirements.mayProbe || isLastResort) {
    const toProbe = accepting.find((replica) => canProbe(replica, now));
    if (toProbe !== undefined) return toProbe;
  }
  const free = accepting.filter((replica) =>
    !replica.ejected && replica.freeSlots > 0
  );
  if (free.length <= 1) return free[0];
  return findByPrefix(free, requirements) ?? findLeastLoaded(free);
}

/** Whether any replica can serve the request, regardless of free slots. */
export function hasCapableReplica(
  replicas: readonly Replica[],
  requirements: ReplicaRequirements,
): boolean {
  return replicas.some((replica) => canServe(replica, requirements));
}

/** Whether a replica in service or due for a probe can serve the request. */
export function hasAvailableReplica(
  replicas: readonly Replica[],
  options: { requirements: ReplicaRequirements; now: number },
): boolean {
  const { requirements, now } = options;
  return replicas.some((replica) =>
    canServe(replica, requirements) &&
    (!replica.ejected || canProbe(replica, now))
  );
}

/** Whether `replica` can serve the request, regardless of free slots. */
export function canServe(
  replica: Replica,
  requirements: ReplicaRequirements,
): boolean {
  return !replica.leaving &&
    !requirements.avoid.includes(replica.id) &&
    replica.hasModel(requirements.model, requirements.adapter);
}

function findByPrefix(
  free: readonly Replica[],
  needs: ReplicaRequirements,
): Replica | undefined {
  if (!needs.prefixAffinity || needs.prefixes.length === 0) return undefined;
  const bound = MAX_LOAD_RATIO * computeMeanLoad(free);
  let best: Replica | undefined;
  let bestOverlap = MIN_OVERLAP;
  for (const replica of free) {
    if (replica.inUse + 1 > Math.max(1, bound * replica.limit.slots)) continue;
    const overlap = replica.cache.computeOverlap(needs.prefixes);
    const better = overlap > bestOverlap ||
      (overlap === bestOverlap && best !== undefined &&
        computeLoad(replica) < computeLoad(best));
    if (!better) continue;
    best = replica;
    bestOverlap = overlap;
  }
  return best;
}

function findLeastLoaded(free: readonly Replica[]): Replica | undefined {
  let best: Replica | undefined;
  for (const replica of free) {
    if (best === undefined || computeLoad(replica) < computeLoad(best)) {
      best = replica;
    }
  }
  return best;
}

function computeLoad(replica: Replica): number {
  return (replica.inUse + replica.untracked) / Math.max(1, replica.limit.slots);
}

/** Returns the mean load including the request itself. */
function computeMeanLoad(replicas: readonly Replica[]): number {
  let used = 1;
  let slots = 0;
  for (const replica of replicas) {
    used += replica.inUse;
    slots += replica.limit.slots;
  }
  return used / Math.max(1, slots);
}
