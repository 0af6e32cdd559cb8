/**
 * Which replica a request goes to.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import { canProbe } from "./ejection.ts";
import type { Replica } from "./replica.ts";

/**
 * A replica may be chosen for its cache only while its use of slots is below
 * this many times the mean: a popular prefix would otherwise pile all of its
 * requests on one replica while others stand idle.
 */
const LOAD_BOUND = 1.25;
/** The least overlap, as a share of the prompt, that is worth an imbalance. */
const MIN_OVERLAP = 0.2;

/** What a request needs of a replica. */
export interface ReplicaRequirements {
  model: string | undefined;
  adapter: string | undefined;
  prefixes: readonly string[];
  avoid: readonly VmId[];
  /** Whether the request may serve as a probe of an ejected replica. */
  mayProbe: boolean;
  prefixAffinity: boolean;
}

/**
 * The replica with room, and that takes a request now by what it asked, that
 * suits best; undefined where there is none.
 */
export function chooseReplica(
  replicas: readonly Replica[],
  options: { requirements: ReplicaRequirements; now: number },
): Replica | undefined {
  const { requirements: wish, now } = options;
  const fitting = replicas.filter((replica) => canServe(replica, wish));
  const taking = fitting.filter((replica) => replica.canTake(now));
  // Work that may not be repeated is no probe while anything in service could
  // take it; without that rule's exception it would wait for good for a
  // replica that only a probe can bring back.
  const isLastResort = fitting.every((replica) => replica.ejected);
  if (wish.mayProbe || isLastResort) {
    const probed = taking.find((replica) => canProbe(replica, now));
    if (probed !== undefined) return probed;
  }
  const free = taking.filter((replica) =>
    !replica.ejected && replica.freeSlots > 0
  );
  if (free.length <= 1) return free[0];
  return findCached(free, wish) ?? findLeastUsed(free);
}

/** Whether any replica could ever serve the request, with room or not. */
export function hasCapableReplica(
  replicas: readonly Replica[],
  wish: ReplicaRequirements,
): boolean {
  return replicas.some((replica) => canServe(replica, wish));
}

/** Whether a replica in service, or due for a probe, could serve it now. */
export function hasAvailableReplica(
  replicas: readonly Replica[],
  options: { requirements: ReplicaRequirements; now: number },
): boolean {
  const { requirements: wish, now } = options;
  return replicas.some((replica) =>
    canServe(replica, wish) && (!replica.ejected || canProbe(replica, now))
  );
}

/** Whether `replica` could serve the request, with room or not. */
export function canServe(replica: Replica, wish: ReplicaRequirements): boolean {
  return !replica.leaving &&
    !wish.avoid.includes(replica.id) &&
    replica.hasModel(wish.model, wish.adapter);
}

function findCached(
  free: readonly Replica[],
  wish: ReplicaRequirements,
): Replica | undefined {
  if (!wish.prefixAffinity || wish.prefixes.length === 0) return undefined;
  const bound = LOAD_BOUND * computeMeanUse(free);
  let best: Replica | undefined;
  let bestOverlap = MIN_OVERLAP;
  for (const replica of free) {
    if (replica.inUse + 1 > Math.max(1, bound * replica.limit.slots)) continue;
    const overlap = replica.cache.computeOverlap(wish.prefixes);
    const better = overlap > bestOverlap ||
      (overlap === bestOverlap && best !== undefined &&
        computeUse(replica) < computeUse(best));
    if (!better) continue;
    best = replica;
    bestOverlap = overlap;
  }
  return best;
}

function findLeastUsed(free: readonly Replica[]): Replica | undefined {
  let best: Replica | undefined;
  for (const replica of free) {
    if (best === undefined || computeUse(replica) < computeUse(best)) {
      best = replica;
    }
  }
  return best;
}

function computeUse(replica: Replica): number {
  return (replica.inUse + replica.foreign) / Math.max(1, replica.limit.slots);
}

/** The mean use once the request has been added. */
function computeMeanUse(replicas: readonly Replica[]): number {
  let used = 1;
  let slots = 0;
  for (const replica of replicas) {
    used += replica.inUse;
    slots += replica.limit.slots;
  }
  return used / Math.max(1, slots);
}
