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
 */
export function listSuited(
  loaded: readonly LoadedReplica[],
  { isInteractive }: PlacementNeeds,
  split: InteractiveSplit,
): readonly LoadedReplica[] {
  const suited = loaded.filter(({ replica }) =>
    isSuited(replica, isInteractive, split)
  );
  return suited.length > 0 ? suited : loaded;
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
