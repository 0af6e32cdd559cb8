/**
 * Fleet whose VMs discover each other through seeds and follow the published
 * state.
 *
 * @module
 */
export { encodeMessage } from "./fleet_message.ts";
export type {
  PlacementAnswerMessage,
  PlacementRequestMessage,
  WorkReport,
} from "./fleet_message.ts";
export type {
  OriginAnswerMessage,
  OriginMessage,
  OriginQueryMessage,
} from "./origin_message.ts";
export { DatagramCounts } from "./datagram_counts.ts";
export { DatagramLink, UdpLink } from "./datagram_link.ts";
export type { FleetPeer, FleetPeers } from "./fleet_peers.ts";
export { FleetHeartbeats } from "./fleet_heartbeats.ts";
export type { KeptNews } from "./earlier_era.ts";
export type { HeartbeatContent, WorkUpdate } from "./heartbeat_options.ts";
export {
  findPartition,
  isSmallFleet,
  listPartitionOwners,
  listPartitions,
  PoolOwners,
} from "./pool_owners.ts";
export type { FleetMember, OwnerCandidate } from "./pool_owners.ts";
export type { DifferingVm } from "./list_agreement.ts";
export type {
  FormerVersion,
  ListSource,
  VersionRecord,
} from "./list_source.ts";
export { PlacementRequester } from "./placement_requester.ts";
export { PeerCalls } from "./peer_calls.ts";
export { PublishedStore } from "./published_store.ts";
export type {
  PublishedState,
  StoreUpdate,
  WholeState,
} from "./published_store.ts";
export { ReadDelay } from "./read_delay.ts";
export { StateFollower } from "./state_follower.ts";
export { StoreHistory } from "./store_history.ts";
