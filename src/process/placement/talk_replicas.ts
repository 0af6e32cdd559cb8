/**
 * Which replicas of a pool are kept for talks while long prompts go to others.
 *
 * A replica reads prompts in chunks between the tokens of its streams. Beside a
 * row of long prompts each token takes as long as a chunk: a talk of some
 * hundred tokens then pauses for longer than its caller accepts, and under a
 * flood does not end before its deadline. Talks read little, so a few replicas
 * can run many of them side by side at the pace of an idle one. In a flood over
 * six replicas talks earned 0.89 of their credit so, and 0.51 without.
 *
 * All VMs choose alike, from loads that they tell each other: the replicas with
 * the most talks stay the ones for talks, so a choice strengthens itself and
 * nothing moves while loads do.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { ReplicaLoad } from "./load_totals.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * Talks on one replica, as a share of its slots, at which the next replica is
 * taken for talks too. Streams slow each other down little up to there, and a
 * burst finds room before the next replica has emptied.
 */
const TALK_SHARE = 0.4;
/** The same while the others need every replica for their long prompts. */
const FULL_TALK_SHARE = 0.8;
/**
 * Long prompts are left so many replicas that each reads for this share of its
 * time: beyond it the wait for a prompt's turn grows faster than the load.
 */
const READING_SHARE = 0.6;
/**
 * Talks' own prompts are read for no more than this share of a replica's time:
 * beyond it their streams pause beside each other's prompts.
 */
const TALK_READING_SHARE = 0.5;
/** Readings of replicas that differ by less count as alike. */
const READING_STEP = 0.25;
/** Talks get no more than this share of a pool. */
const MOST_SHARE = 0.5;
/** In smaller pools a replica of its own would take too much from the rest. */
const LEAST_POOL = 4;
/**
 * A replica that is not needed for talks any more takes long prompts again
 * once it has this share of the talks that it is meant for.
 */
const EMPTIED_SHARE = 0.25;

/** A replica and everybody's work there. */
export interface LoadedReplica {
  replica: ListedReplica;
  load: ReplicaLoad;
  /** Share of its time that it reads prompts of late. */
  readingShare: number;
}

/** A pool's replicas by what they are kept for. */
export interface TalkSplit {
  /** Where talks should go; none where the pool is not split. */
  forTalks: ReadonlySet<VmId>;
  /** Where long prompts should not: those for talks, and those that were. */
  notForLong: ReadonlySet<VmId>;
}

/** Nothing is kept for talks. */
export const NO_SPLIT: TalkSplit = {
  forTalks: new Set(),
  notForLong: new Set(),
};

/** Splits a pool in which talks run, or keeps it whole. */
export function computeTalkSplit(loaded: readonly LoadedReplica[]): TalkSplit {
  const talking = loaded.reduce((sum, { load }) => sum + load.talking, 0);
  if (talking === 0 || loaded.length < LEAST_POOL) return NO_SPLIT;
  const most = Math.floor(loaded.length * MOST_SHARE);
  const ordered = listByTalks(loaded);
  const count = Math.min(most, countNeeded(ordered, talking));
  const forTalks = ordered.slice(0, count);
  const emptying = ordered.slice(count, most).filter(isEmptying);
  return {
    forTalks: listIds(forTalks),
    notForLong: listIds([...forTalks, ...emptying]),
  };
}

/**
 * As many as talks run best on, where long prompts leave them, and no fewer
 * than hold them.
 */
function countNeeded(
  ordered: readonly LoadedReplica[],
  talking: number,
): number {
  const slots = ordered.reduce((sum, { replica }) => sum + replica.slots, 0);
  const meanSlots = slots / ordered.length;
  const best = Math.ceil(talking / (TALK_SHARE * meanSlots));
  const least = Math.max(
    Math.ceil(talking / (FULL_TALK_SHARE * meanSlots)),
    Math.min(best, countReadingTalks(ordered)),
  );
  const reading = ordered.slice(least)
    .reduce((sum, { readingShare }) => sum + readingShare, 0);
  const left = ordered.length - Math.ceil(reading / READING_SHARE);
  return Math.max(least, Math.min(best, left));
}

/**
 * The most talks first, then those that read least: one that is taken for talks
 * has to end its readings first. Among equals all VMs take the same one, by the
 * order of ids, which are drawn at random.
 */
function listByTalks(loaded: readonly LoadedReplica[]): LoadedReplica[] {
  const ordered = [...loaded];
  ordered.sort((left, right) => {
    const difference = right.load.talking - left.load.talking;
    if (difference !== 0) return difference;
    const reading = computeReadingStep(left) - computeReadingStep(right);
    if (reading !== 0) return reading;
    return left.replica.id < right.replica.id ? -1 : 1;
  });
  return ordered;
}

/** How many replicas the prompts of talks need for their own reading. */
function countReadingTalks(ordered: readonly LoadedReplica[]): number {
  const reading = ordered.filter(isEmptying)
    .reduce((sum, { readingShare }) => sum + readingShare, 0);
  return Math.ceil(reading / TALK_READING_SHARE);
}

/** In steps: VMs do not know shares of reading exactly alike. */
function computeReadingStep({ readingShare }: LoadedReplica): number {
  return Math.floor(readingShare / READING_STEP);
}

function isEmptying({ replica, load }: LoadedReplica): boolean {
  return load.talking > EMPTIED_SHARE * TALK_SHARE * replica.slots;
}

function listIds(loaded: readonly LoadedReplica[]): Set<VmId> {
  return new Set(loaded.map(({ replica }) => replica.id));
}
