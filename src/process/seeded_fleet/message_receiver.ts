/**
 * Takes in what other VMs send: heartbeats, asks, answers, and whom they hear
 * or miss.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { SuspectEntry } from "../quarantine/index.ts";
import type { DatagramLink } from "./datagram_link.ts";
import {
  type AnswerMessage,
  type AskMessage,
  decodeMessage,
  encodeMessage,
  type FleetHeartbeat,
  type FleetMessage,
  type MembersMessage,
} from "./fleet_message.ts";
import type { FleetPeer, FleetPeers } from "./fleet_peers.ts";
import type { HeartbeatTargets } from "./heartbeat_targets.ts";
import { buildSuspectMessages } from "./suspect_messages.ts";

/** A VM that hears so much of what another one hears needs no list of it. */
const FULL_SHARE = 0.8;
/** What taking in messages needs. */
export interface MessageReceiverOptions {
  vm: VmId;
  log: Log;
  link: DatagramLink;
  /** Where this VM takes datagrams. */
  self: Endpoint;
  peers: FleetPeers;
  targets: HeartbeatTargets;
  /** Sends a heartbeat without news. */
  sendPlain: (to: ReadonlySet<Endpoint>) => void;
  onHeartbeat: (peer: FleetPeer) => void;
  /** Returns what the sender should know better. */
  onSuspects: (entries: SuspectEntry[], from: Endpoint) => SuspectEntry[];
  /** What a VM that was not heard before is to know at once. */
  listSuspects: () => SuspectEntry[];
  onAsk: (ask: AskMessage) => AnswerMessage;
  onAnswer: (answer: AnswerMessage) => void;
}

/** Reads datagrams and hands on what they say. */
export class MessageReceiver {
  readonly #options: MessageReceiverOptions;

  constructor(options: MessageReceiverOptions) {
    this.#options = options;
  }

  static create(options: MessageReceiverOptions): MessageReceiver {
    return new MessageReceiver(options);
  }

  start(): void {
    this.#options.link.onDatagram((bytes, from) =>
      this.#handleDatagram(bytes, from)
    );
  }

  #handleDatagram(bytes: Uint8Array, from: Endpoint): void {
    const message = decodeMessage(bytes);
    if (message instanceof Error) {
      this.#options.log.warn("datagram_rejected", {
        peer: from,
        error: message.message,
      });
      return;
    }
    this.#handleMessage(message, from);
  }

  #handleMessage(message: FleetMessage, from: Endpoint): void {
    const { link, onAsk, onAnswer } = this.#options;
    match(message)
      .with(
        { kind: "heartbeat" },
        (heartbeat) => this.#handleHeartbeat(heartbeat, from),
      )
      .with({ kind: "alive" }, (alive) => {
        const peer = this.#options.peers.noteAlive(alive);
        if (peer !== undefined) this.#options.onHeartbeat(peer);
      })
      .with({ kind: "members" }, (members) => this.#announceTo(members))
      .with({ kind: "silent" }, ({ vms }) => {
        for (const [vm, ms] of vms) this.#options.peers.noteSilent(vm, ms);
      })
      .with({ kind: "suspects" }, ({ entries }) => {
        this.#sendSuspects(from, this.#options.onSuspects(entries, from));
      })
      .with({ kind: "ask" }, (ask) => {
        link.send(from, encodeMessage(onAsk(ask)));
      })
      .with({ kind: "answer" }, (answer) => onAnswer(answer))
      .exhaustive();
  }

  #handleHeartbeat(heartbeat: FleetHeartbeat, from: Endpoint): void {
    if (heartbeat.vm === this.#options.vm) return;
    const { isNew } = this.#options.peers.noteHeartbeat(heartbeat, from);
    if (isNew) this.#answerNew(heartbeat, from);
    const peer = this.#options.peers.find(heartbeat.vm);
    if (peer?.heartbeat === heartbeat) this.#options.onHeartbeat(peer);
  }

  /**
   * Makes itself known to a VM that was unknown, and tells it whom this VM
   * hears, and which requests are suspect, if it hears few: when a whole fleet
   * starts, each VM would else send the list of all to each.
   */
  #answerNew(heartbeat: FleetHeartbeat, to: Endpoint): void {
    this.#options.sendPlain(new Set([to]));
    const endpoints = this.#options.targets.listLive()
      .filter((endpoint) => endpoint !== to);
    if (heartbeat.heard >= FULL_SHARE * endpoints.length) return;
    const message: MembersMessage = { kind: "members", endpoints };
    this.#options.link.send(to, encodeMessage(message));
    this.#sendSuspects(to, this.#options.listSuspects());
  }

  #sendSuspects(to: Endpoint, entries: readonly SuspectEntry[]): void {
    for (const message of buildSuspectMessages(entries)) {
      this.#options.link.send(to, encodeMessage(message));
    }
  }

  /** Makes itself known to VMs that it had not heard of. */
  #announceTo(message: MembersMessage): void {
    const known = new Set([
      ...this.#options.targets.listLive(),
      this.#options.self,
    ]);
    const unknown = message.endpoints.filter((each) => !known.has(each));
    this.#options.sendPlain(new Set(unknown));
  }
}
