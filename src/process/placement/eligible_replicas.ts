/**
 * Which replicas of a pool suit a prompt, before any of them is weighed.
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
 * Keeps long prompts away from replicas that are kept for interactive streams.
 *
 * Interactive streams go elsewhere as well while those have no slot left. In a
 * burst of them some forty waited at each such replica, a second and more for a
 * slot, while others ran three requests on sixteen slots: of 160 in a second
 * five began in time. The replicas that are kept for them grow in number, but
 * not before half of the pool, and only as others end their long prompts.
 */
export function listSuited(
  loaded: readonly LoadedReplica[],
  { isInteractive }: PlacementNeeds,
  split: InteractiveSplit,
): readonly LoadedReplica[] {
  const suited = loaded.filter(({ replica }) =>
    isSuited(replica, isInteractive, split)
  );
  if (suited.length === 0) return loaded;
  if (!isInteractive || suited.some(hasFreeSlot)) return suited;
  const free = loaded.filter(hasFreeSlot);
  return free.length > 0 ? free : suited;
}

function hasFreeSlot({ replica, load }: LoadedReplica): boolean {
  return load.running < replica.slots;
}

function isSuited(
  replica: ListedReplica,
  isInteractive: boolean,
  split: InteractiveSplit,
): boolean {
  if (split === NO_SPLIT) return true;
  return isInteractive
    ? split.forInteractive.has(replica.id)
    : !split.notForLong.has(replica.id);
}
