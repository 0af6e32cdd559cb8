/**
 * What heartbeats are made of, and who hears of what they bring.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { SuspectEntry } from "../quarantine/index.ts";
import type { Random } from "../random.ts";
import type { DatagramLink } from "./datagram_link.ts";
import type {
  AnswerMessage,
  AskMessage,
  FleetHeartbeat,
  FleetWork,
} from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";

/** What a VM tells of its work to some of those that place requests. */
export interface WorkShare {
  /** Who is told; undefined for all VMs. Nobody is in two shares. */
  owners: ReadonlySet<VmId> | undefined;
  /** What is told once is taken out of what is told later. */
  work: FleetWork;
  /** Whether anything differs from what was told before. */
  isNew: boolean;
}

/** What a VM says of itself in a heartbeat. */
export type HeartbeatContent = Omit<
  FleetHeartbeat,
  "kind" | "sequence" | "nextMs" | "heard" | "work"
>;

/** What sending and receiving heartbeats needs. */
export interface FleetHeartbeatsOptions {
  vm: VmId;
  clock: Clock;
  random: Random;
  log: Log;
  link: DatagramLink;
  /** Where other VMs may take datagrams; may be stale. */
  getSeeds: () => readonly Endpoint[];
  /** Where this VM takes datagrams. */
  self: Endpoint;
  /** What this VM says of itself. */
  buildHeartbeat: () => HeartbeatContent;
  /** This VM's work; what is told once is taken out by it. */
  takeWork: () => readonly WorkShare[];
  /** Who places requests; undefined where each VM does. */
  listOwners: () => ReadonlySet<VmId> | undefined;
  onHeartbeat: (peer: FleetPeer) => void;
  /** As `MessageReceiverOptions`. */
  onSuspects: (entries: SuspectEntry[], from: Endpoint) => SuspectEntry[];
  listSuspects: () => SuspectEntry[];
  onAsk: (ask: AskMessage) => AnswerMessage;
  onAnswer: (answer: AnswerMessage) => void;
}
