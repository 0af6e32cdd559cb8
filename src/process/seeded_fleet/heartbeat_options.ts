/**
 * Content of heartbeats and the callbacks for what they deliver.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { CrashNews } from "../quarantine/suspect_entry.ts";
import type { Random } from "../random.ts";
import type { DatagramLink } from "./datagram_link.ts";
import type {
  FleetHeartbeat,
  PlacementAnswerMessage,
  PlacementRequestMessage,
  WorkReport,
} from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";
import type {
  OriginAnswerMessage,
  OriginMessage,
  OriginQueryMessage,
} from "./origin_message.ts";

/** Work of this VM for some of the VMs that place requests. */
export interface WorkUpdate {
  /** Receivers; undefined for all VMs. No VM is in two updates. */
  owners: ReadonlySet<VmId> | undefined;
  /** Entries that are sent once are not part of a later update. */
  work: WorkReport;
  /** Whether anything differs from the previous update. */
  isNew: boolean;
}

/** What a VM reports about itself in a heartbeat. */
export type HeartbeatContent = Omit<
  FleetHeartbeat,
  "kind" | "sequence" | "nextMs" | "heard" | "work" | "sentAt"
>;

/** Options of `FleetHeartbeats`. */
export interface FleetHeartbeatsOptions {
  vm: VmId;
  clock: Clock;
  random: Random;
  log: Log;
  link: DatagramLink;
  /** Datagram endpoints of other VMs; may be stale. */
  getSeeds: () => readonly Endpoint[];
  /** Datagram endpoint of this VM. */
  self: Endpoint;
  buildHeartbeat: () => HeartbeatContent;
  /** Returns this VM's work and removes the entries that are sent once. */
  takeWorkUpdates: () => readonly WorkUpdate[];
  /** Whether requests of this VM have waited at an owner lately. */
  hasRecentWaits: () => boolean;
  /** VMs that place requests; undefined where each VM does. */
  listOwners: () => ReadonlySet<VmId> | undefined;
  onHeartbeat: (peer: FleetPeer) => void;
  /** See `MessageReceiverOptions`. */
  onSuspects: (news: CrashNews, from: Endpoint) => CrashNews;
  onNewsAnswer: () => void;
  listSuspects: () => CrashNews;
  onPlacementRequest: (
    request: PlacementRequestMessage,
  ) => PlacementAnswerMessage;
  onPlacementAnswer: (answer: PlacementAnswerMessage) => void;
  onOrigin: (origin: OriginMessage) => void;
  onOriginQuery: (query: OriginQueryMessage) => OriginAnswerMessage;
  onOriginAnswer: (answer: OriginAnswerMessage) => void;
}
