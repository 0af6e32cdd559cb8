/**
 * A fleet whose VMs know each other by seeds and follow what is published.
 *
 * @module
 */
export { encodeMessage } from "./fleet_message.ts";
export type { AnswerMessage, AskMessage, FleetWork } from "./fleet_message.ts";
export { DatagramLink, UdpLink } from "./datagram_link.ts";
export type { FleetPeer, FleetPeers } from "./fleet_peers.ts";
export { FleetHeartbeats } from "./fleet_heartbeats.ts";
export type { HeartbeatContent, WorkShare } from "./heartbeat_options.ts";
export {
  findDuty,
  isSmallFleet,
  listDuties,
  listPartitionOwners as listOwnersOf,
  PoolOwners,
} from "./pool_owners.ts";
export type { FleetMember, OwnerCandidate } from "./pool_owners.ts";
export { PlacementRequester as PlacementAsker } from "./placement_requester.ts";
export { PeerCalls } from "./peer_calls.ts";
export { PublishedStore } from "./published_store.ts";
export type {
  PublishedState,
  StoreUpdate as StoreNews,
} from "./published_store.ts";
export { StateFollower } from "./state_follower.ts";
