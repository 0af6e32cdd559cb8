/**
 * Reserves some replicas of a pool for interactive streams, while long prompts
 * go to the others.
 *
 * An engine prefills prompts in chunks between the decoding steps of its
 * streams, so during long prefills each token takes as long as a chunk. An
 * interactive stream of some hundred tokens then pauses for longer than its
 * caller accepts, and under overload misses its deadline. Interactive streams
 * need little prefill, so a few replicas can run many of them at the pace of an
 * idle one.
 *
 * All VMs compute the same split, from the loads that they report to each
 * other. The replicas with the most interactive streams stay reserved, so the
 * split reinforces itself and stays stable while loads change.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { ReplicaLoad } from "./load_totals.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * Interactive streams on a replica, as a share of its slots, at which another
 * replica is reserved. Up to this share the streams hardly slow each other
 * down, and a burst finds free slots until the long prompts of the next replica
 * have ended.
 */
const TARGET_INTERACTIVE_SHARE = 0.4;
/** The same limit while long prompts need all other replicas. */
const MAX_INTERACTIVE_SHARE = 0.8;
/**
 * Long prompts keep enough replicas for each to spend at most this share of its
 * time on prefill; beyond it, queueing delay grows faster than the load.
 */
const MAX_PREFILL_SHARE = 0.6;
/**
 * Reserved replicas spend at most this share of their time on the prompts of
 * interactive streams; beyond it, the streams pause for each other's prefills.
 */
const MAX_INTERACTIVE_PREFILL_SHARE = 0.5;
/** Prefill shares within one step of this size rank as equal. */
const PREFILL_SHARE_STEP = 0.25;
/** Largest share of a pool that is reserved for interactive streams. */
const MAX_POOL_SHARE = 0.5;
/**
 * In a smaller pool, reserving a replica would take too much from the other
 * requests.
 */
const MIN_POOL_SIZE = 4;
/**
 * A replica that is no longer reserved takes long prompts again once its
 * interactive streams have dropped to this share of their target number.
 */
const REOPEN_SHARE = 0.25;

/** A replica and the load of all VMs on it. */
export interface LoadedReplica {
  replica: ListedReplica;
  load: ReplicaLoad;
  /** Share of its time that it recently spent on prefill. */
  prefillShare: number;
}

/** Division of a pool between interactive streams and long prompts. */
export interface InteractiveSplit {
  /**
   * Replicas reserved for interactive streams; empty where the pool is not
   * split.
   */
  forInteractive: ReadonlySet<VmId>;
  /**
   * Replicas that get no long prompts: the reserved ones, and those that still
   * run interactive streams of an earlier reservation.
   */
  closedToLongPrompts: ReadonlySet<VmId>;
}

/** No replica is reserved. */
export const NO_SPLIT: InteractiveSplit = {
  forInteractive: new Set(),
  closedToLongPrompts: new Set(),
};

/** Splits a pool in which interactive streams run, or leaves it whole. */
export function computeInteractiveSplit(
  loaded: readonly LoadedReplica[],
): InteractiveSplit {
  const interactive = loaded.reduce(
    (sum, { load }) => sum + load.interactive,
    0,
  );
  if (interactive === 0 || loaded.length < MIN_POOL_SIZE) return NO_SPLIT;
  const maxCount = Math.floor(loaded.length * MAX_POOL_SHARE);
  const ordered = listByInteractive(loaded);
  const count = Math.min(maxCount, countReserved(ordered, interactive));
  const forInteractive = ordered.slice(0, count);
  const draining = ordered.slice(count, maxCount).filter(hasInteractiveLoad);
  return {
    forInteractive: listIds(forInteractive),
    closedToLongPrompts: listIds([...forInteractive, ...draining]),
  };
}

/**
 * Number of replicas to reserve: the ideal number for the interactive streams,
 * as far as long prompts leave it, but at least as many as can run them.
 */
function countReserved(
  ordered: readonly LoadedReplica[],
  interactive: number,
): number {
  const slots = ordered.reduce((sum, { replica }) => sum + replica.slots, 0);
  const meanSlots = slots / ordered.length;
  const ideal = Math.ceil(interactive / (TARGET_INTERACTIVE_SHARE * meanSlots));
  const min = Math.max(
    Math.ceil(interactive / (MAX_INTERACTIVE_SHARE * meanSlots)),
    Math.min(ideal, countInteractivePrefill(ordered)),
  );
  const prefill = ordered.slice(min)
    .reduce((sum, { prefillShare }) => sum + prefillShare, 0);
  const left = ordered.length - Math.ceil(prefill / MAX_PREFILL_SHARE);
  return Math.max(min, Math.min(ideal, left));
}

/**
 * Sorts by most interactive streams, then by least prefill, since a newly
 * reserved replica has to finish its prefills first. Ties are broken by id, so
 * that all VMs choose alike; ids are random.
 */
function listByInteractive(loaded: readonly LoadedReplica[]): LoadedReplica[] {
  const ordered = [...loaded];
  ordered.sort((left, right) => {
    const difference = right.load.interactive - left.load.interactive;
    if (difference !== 0) return difference;
    const prefill = computePrefillStep(left) - computePrefillStep(right);
    if (prefill !== 0) return prefill;
    return left.replica.id < right.replica.id ? -1 : 1;
  });
  return ordered;
}

/** Number of replicas needed to prefill the prompts of interactive streams. */
function countInteractivePrefill(ordered: readonly LoadedReplica[]): number {
  const prefill = ordered.filter(hasInteractiveLoad)
    .reduce((sum, { prefillShare }) => sum + prefillShare, 0);
  return Math.ceil(prefill / MAX_INTERACTIVE_PREFILL_SHARE);
}

/** Rounded down to steps, since VMs know prefill shares only approximately. */
function computePrefillStep({ prefillShare }: LoadedReplica): number {
  return Math.floor(prefillShare / PREFILL_SHARE_STEP);
}

function hasInteractiveLoad({ replica, load }: LoadedReplica): boolean {
  return load.interactive >
    REOPEN_SHARE * TARGET_INTERACTIVE_SHARE * replica.slots;
}

function listIds(loaded: readonly LoadedReplica[]): Set<VmId> {
  return new Set(loaded.map(({ replica }) => replica.id));
}
