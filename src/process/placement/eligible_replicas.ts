/**
 * Selects the replicas of a pool that may get a prompt, before any of them is
 * scored.
 *
 * @module
 */
import {
  type InteractiveSplit,
  type LoadedReplica,
  NO_SPLIT,
} from "./interactive_replicas.ts";
import type { PlacementNeeds } from "./placement_choice.ts";
import type { ListedReplica } from "./replica_list.ts";

/**
 * Keeps long prompts away from replicas reserved for interactive streams.
 *
 * Interactive streams spill over to other replicas while the reserved ones have
 * no free slot. In a burst, about forty of them would otherwise wait at each
 * reserved replica for a second or more, while the others ran three requests on
 * sixteen slots. More replicas get reserved too late for that: at most half of
 * the pool, and only as their long prompts end.
 */
export function listEligible(
  loaded: readonly LoadedReplica[],
  { isInteractive }: PlacementNeeds,
  split: InteractiveSplit,
): readonly LoadedReplica[] {
  const eligible = loaded.filter(({ replica }) =>
    isEligible(replica, isInteractive, split)
  );
  if (eligible.length === 0) return loaded;
  if (!isInteractive || eligible.some(hasFreeSlot)) return eligible;
  const free = loaded.filter(hasFreeSlot);
  return free.length > 0 ? free : eligible;
}

function hasFreeSlot({ replica, load }: LoadedReplica): boolean {
  return load.running < replica.slots;
}

function isEligible(
  replica: ListedReplica,
  isInteractive: boolean,
  split: InteractiveSplit,
): boolean {
  if (split === NO_SPLIT) return true;
  return isInteractive
    ? split.forInteractive.has(replica.id)
    : !split.closedToLongPrompts.has(replica.id);
}
