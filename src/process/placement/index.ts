/**
 * Choice of a replica for each request, from state that the VMs share.
 *
 * @module
 */
export { getEra, isNewer } from "./list_position.ts";
export type { ListPosition } from "./list_position.ts";
export { Locality } from "./locality.ts";
export { PlacementSource } from "./placement_source.ts";
export type {
  FetchPlacement,
  OwnerDecision,
  WaitOptions,
} from "./placement_source.ts";
export { ReplicaChooser } from "./replica_chooser.ts";
export type { PlacementRequest, WaitingNeeds } from "./replica_chooser.ts";
export type { Placement } from "./placement_choice.ts";
export { PlacementState } from "./placement_state.ts";
export type { PlacementEntry } from "./prefix_index.ts";
export { PrefixPriming } from "./prefix_priming.ts";
export {
  getSoftwareVersion,
  hasVersion,
  ReplicaDirectory,
} from "./replica_list.ts";
export type {
  LeavingEntry,
  ListedReplica,
  ReplicaList,
} from "./replica_list.ts";
export type { PlacementRole, WarmUpExcess } from "./slow_start.ts";
