/**
 * Which replicas of a pool are kept for interactive streams while long prompts
 * go to others.
 *
 * A replica reads prompts in chunks between the tokens of its streams. Beside a
 * row of long prompts each token takes as long as a chunk: an interactive
 * stream of some hundred tokens then pauses for longer than its caller accepts,
 * and under a flood does not end before its deadline. Interactive streams read
 * little, so a few replicas can run many of them side by side at the pace of an
 * idle one. In a flood over six replicas interactive streams earned 0.89 of
 * their credit so, and 0.51 without.
 *
 * All VMs choose alike, from loads that they tell each other: the replicas with
 * the most interactive streams stay the ones for interactive streams, so a
 * choice strengthens itself and nothing moves while loads do.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { ReplicaLoad } from "./load_totals.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * Interactive streams on one replica, as a share of its slots, at which the
 * next replica is taken for interactive streams too. Streams slow each other
 * down little up to there, and a burst finds room before the next replica has
 * emptied.
 */
const INTERACTIVE_SHARE = 0.4;
/** The same while the others need every replica for their long prompts. */
const FULL_INTERACTIVE_SHARE = 0.8;
/**
 * Long prompts are left so many replicas that each reads for this share of its
 * time: beyond it the wait for a prompt's turn grows faster than the load.
 */
const PREFILL_SHARE = 0.6;
/**
 * Interactive streams' own prompts are read for no more than this share of a
 * replica's time: beyond it their streams pause beside each other's prompts.
 */
const INTERACTIVE_PREFILL_SHARE = 0.5;
/** Prefill shares of replicas that differ by less count as alike. */
const PREFILL_STEP = 0.25;
/** Interactive streams get no more than this share of a pool. */
const MOST_SHARE = 0.5;
/** In smaller pools a replica of its own would take too much from the rest. */
const LEAST_POOL = 4;
/**
 * A replica that is not needed for interactive streams any more takes long
 * prompts again once it has this share of the interactive streams that it is
 * meant for.
 */
const EMPTIED_SHARE = 0.25;

/** A replica and everybody's work there. */
export interface LoadedReplica {
  replica: ListedReplica;
  load: ReplicaLoad;
  /** Share of its time that it reads prompts of late. */
  prefillShare: number;
}

/** A pool's replicas by what they are kept for. */
export interface InteractiveSplit {
  /** Where interactive streams should go; none where the pool is not split. */
  forInteractive: ReadonlySet<VmId>;
  /**
   * Where long prompts should not: those for interactive streams, and those
   * that were.
   */
  notForLong: ReadonlySet<VmId>;
}

/** Nothing is kept for interactive streams. */
export const NO_SPLIT: InteractiveSplit = {
  forInteractive: new Set(),
  notForLong: new Set(),
};

/** Splits a pool in which interactive streams run, or keeps it whole. */
export function computeInteractiveSplit(
  loaded: readonly LoadedReplica[],
): InteractiveSplit {
  const interactive = loaded.reduce(
    (sum, { load }) => sum + load.interactive,
    0,
  );
  if (interactive === 0 || loaded.length < LEAST_POOL) return NO_SPLIT;
  const most = Math.floor(loaded.length * MOST_SHARE);
  const ordered = listByInteractive(loaded);
  const count = Math.min(most, countNeeded(ordered, interactive));
  const forInteractive = ordered.slice(0, count);
  const emptying = ordered.slice(count, most).filter(isEmptying);
  return {
    forInteractive: listIds(forInteractive),
    notForLong: listIds([...forInteractive, ...emptying]),
  };
}

/**
 * As many as interactive streams run best on, where long prompts leave them,
 * and no fewer than hold them.
 */
function countNeeded(
  ordered: readonly LoadedReplica[],
  interactive: number,
): number {
  const slots = ordered.reduce((sum, { replica }) => sum + replica.slots, 0);
  const meanSlots = slots / ordered.length;
  const best = Math.ceil(interactive / (INTERACTIVE_SHARE * meanSlots));
  const least = Math.max(
    Math.ceil(interactive / (FULL_INTERACTIVE_SHARE * meanSlots)),
    Math.min(best, countInteractivePrefill(ordered)),
  );
  const prefill = ordered.slice(least)
    .reduce((sum, { prefillShare }) => sum + prefillShare, 0);
  const left = ordered.length - Math.ceil(prefill / PREFILL_SHARE);
  return Math.max(least, Math.min(best, left));
}

/**
 * The most interactive streams first, then those that read least: one that is
 * taken for interactive streams has to end its prefills first. Among equals all
 * VMs take the same one, by the order of ids, which are drawn at random.
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

/**
 * How many replicas the prompts of interactive streams need for their own
 * prefill.
 */
function countInteractivePrefill(ordered: readonly LoadedReplica[]): number {
  const prefill = ordered.filter(isEmptying)
    .reduce((sum, { prefillShare }) => sum + prefillShare, 0);
  return Math.ceil(prefill / INTERACTIVE_PREFILL_SHARE);
}

/** In steps: VMs do not know shares of prefill exactly alike. */
function computePrefillStep({ prefillShare }: LoadedReplica): number {
  return Math.floor(prefillShare / PREFILL_STEP);
}

function isEmptying({ replica, load }: LoadedReplica): boolean {
  return load.interactive > EMPTIED_SHARE * INTERACTIVE_SHARE * replica.slots;
}

function listIds(loaded: readonly LoadedReplica[]): Set<VmId> {
  return new Set(loaded.map(({ replica }) => replica.id));
}
