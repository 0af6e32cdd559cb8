/**
 * Handles datagrams from other VMs: heartbeats, placement requests and answers,
 * member lists, silent VMs and suspect requests.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Log } from "../log.ts";
import type { CrashNews } from "../quarantine/suspect_entry.ts";
import type { DatagramLink } from "./datagram_link.ts";
import {
  decodeMessage,
  encodeMessage,
  type FleetHeartbeat,
  type FleetMessage,
  type MembersMessage,
  type PlacementAnswerMessage,
  type PlacementRequestMessage,
} from "./fleet_message.ts";
import type { FleetPeer, FleetPeers } from "./fleet_peers.ts";
import type {
  OriginAnswerMessage,
  OriginMessage,
  OriginQueryMessage,
} from "./origin_message.ts";
import type { HeartbeatTargets } from "./heartbeat_targets.ts";
import { buildSuspectMessages } from "./suspect_messages.ts";

const EMPTY_NEWS: CrashNews = { entries: [], reports: [], answers: [] };

/**
 * A new peer gets no member list if it has at least this share of this VM's
 * number of live peers.
 */
const FULL_VIEW_SHARE = 0.8;
/** Options of `MessageReceiver`. */
export interface MessageReceiverOptions {
  vm: VmId;
  log: Log;
  link: DatagramLink;
  /** Datagram endpoint of this VM. */
  self: Endpoint;
  peers: FleetPeers;
  targets: HeartbeatTargets;
  /** Sends a heartbeat without work. */
  sendWithoutWork: (to: ReadonlySet<Endpoint>) => void;
  onHeartbeat: (peer: FleetPeer) => void;
  /** Returns what is newer here than what the sender told. */
  onSuspects: (news: CrashNews, from: Endpoint) => CrashNews;
  /** Called when another VM has answered this one's query for evidence. */
  onNewsAnswer: () => void;
  /** Evidence for a VM that was just discovered. */
  listSuspects: () => CrashNews;
  onPlacementRequest: (
    request: PlacementRequestMessage,
  ) => PlacementAnswerMessage;
  onPlacementAnswer: (answer: PlacementAnswerMessage) => void;
  onOrigin: (origin: OriginMessage) => void;
  onOriginQuery: (query: OriginQueryMessage) => OriginAnswerMessage;
  onOriginAnswer: (answer: OriginAnswerMessage) => void;
}

/** Decodes datagrams and dispatches their messages. */
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
    const { link, onPlacementRequest, onPlacementAnswer } = this.#options;
    const { onOrigin, onOriginQuery, onOriginAnswer } = this.#options;
    match(message)
      .with(
        { kind: "heartbeat" },
        (heartbeat) => this.#handleHeartbeat(heartbeat, from),
      )
      .with({ kind: "alive" }, (alive) => {
        const peer = this.#options.peers.noteAlive(alive);
        if (peer !== undefined) this.#options.onHeartbeat(peer);
      })
      .with({ kind: "members" }, (members) => this.#announceToMembers(members))
      .with({ kind: "silent" }, ({ vms }) => {
        for (const [vm, ms] of vms) this.#options.peers.noteSilent(vm, ms);
      })
      .with({ kind: "suspects" }, (told) => {
        const { entries, reports = [], answers = [], isAnswer } = told;
        const news = { entries, reports, answers };
        this.#sendSuspects(from, this.#options.onSuspects(news, from));
        if (isAnswer) this.#options.onNewsAnswer();
      })
      .with({ kind: "news_query" }, () => {
        const news = this.#options.listSuspects();
        const messages = buildSuspectMessages(news);
        const last = messages.pop() ?? { kind: "suspects", ...EMPTY_NEWS };
        for (const message of [...messages, { ...last, isAnswer: true }]) {
          link.send(from, encodeMessage(message));
        }
      })
      .with({ kind: "ask" }, (request) => {
        link.send(from, encodeMessage(onPlacementRequest(request)));
      })
      .with({ kind: "answer" }, (answer) => onPlacementAnswer(answer))
      .with({ kind: "origin" }, (origin) => onOrigin(origin))
      .with({ kind: "origin_query" }, (query) => {
        link.send(from, encodeMessage(onOriginQuery(query)));
      })
      .with({ kind: "origin_answer" }, (answer) => onOriginAnswer(answer))
      .exhaustive();
  }

  #handleHeartbeat(heartbeat: FleetHeartbeat, from: Endpoint): void {
    if (heartbeat.vm === this.#options.vm) return;
    const { isNew } = this.#options.peers.noteHeartbeat(heartbeat, from);
    if (isNew) this.#handleNewPeer(heartbeat, from);
    const peer = this.#options.peers.find(heartbeat.vm);
    if (peer?.heartbeat === heartbeat) this.#options.onHeartbeat(peer);
  }

  /**
   * Sends a heartbeat to a newly discovered VM. If that VM has few live peers,
   * also sends it this VM's live peers and the suspect requests; doing so
   * always would make each VM send the full list to each other one when a whole
   * fleet starts.
   */
  #handleNewPeer(heartbeat: FleetHeartbeat, to: Endpoint): void {
    this.#options.sendWithoutWork(new Set([to]));
    const endpoints = this.#options.targets.listLive()
      .filter((endpoint) => endpoint !== to);
    if (heartbeat.heard >= FULL_VIEW_SHARE * endpoints.length) return;
    const message: MembersMessage = { kind: "members", endpoints };
    this.#options.link.send(to, encodeMessage(message));
    this.#sendSuspects(to, this.#options.listSuspects());
  }

  #sendSuspects(to: Endpoint, news: CrashNews): void {
    for (const message of buildSuspectMessages(news)) {
      this.#options.link.send(to, encodeMessage(message));
    }
  }

  /** Sends a heartbeat to the listed VMs that were unknown. */
  #announceToMembers(message: MembersMessage): void {
    const known = new Set([
      ...this.#options.targets.listLive(),
      this.#options.self,
    ]);
    const unknown = message.endpoints.filter((each) => !known.has(each));
    this.#options.sendWithoutWork(new Set(unknown));
  }
}
