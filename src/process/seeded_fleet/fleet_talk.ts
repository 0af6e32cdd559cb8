/**
 * Heartbeats between entry VMs that know of each other by seeds alone.
 *
 * Seeds may be stale or down, so whoever hears of a new VM tells it whom it
 * hears itself, and silent VMs and seeds are tried again now and then: after a
 * partition both sides would else take each other for gone for good.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { CancelTimer, Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { DatagramLink } from "./datagram_link.ts";
import {
  decodeMessage,
  encodeMessage,
  type FleetBeat,
  type MembersMessage,
} from "./fleet_message.ts";
import { type FleetPeer, FleetPeers } from "./fleet_peers.ts";

/** Without news a heartbeat goes out this often, in milliseconds. */
const BEAT_EVERY_MS = 150;
/** News waits so long for more news, in milliseconds. */
const NEWS_WAIT_MS = 25;
/**
 * Every heartbeat goes to each peer, so both times grow with the peers: a VM
 * sends at most 330 datagrams a second with news, and 100 without, in a fleet
 * of any size. Without this a VM among ninety would send over three thousand.
 */
const NEWS_WAIT_PER_PEER_MS = 3;
const BEAT_PER_PEER_MS = 10;
/** Heartbeats that a live VM may miss before it counts as gone. */
const MISSED_BEATS = 6;
/** Seeds and silent VMs are tried this often, in milliseconds. */
const RETRY_EVERY_MS = 500;
/** While nobody is heard, seeds are tried at each heartbeat for so long. */
const EAGER_MS = 5_000;

/** What fills in a heartbeat. */
export type BeatContent = Omit<FleetBeat, "kind" | "sequence">;

/** What the talk is made of. */
export interface FleetTalkOptions {
  vm: VmId;
  clock: Clock;
  log: Log;
  link: DatagramLink;
  /** Where other VMs may take datagrams; may be stale. */
  getSeeds: () => readonly Endpoint[];
  /** Where this VM takes datagrams. */
  self: Endpoint;
  /** What this VM says of itself; what is told once is taken out by it. */
  buildBeat: () => BeatContent;
  onBeat: (peer: FleetPeer) => void;
}

/** Sends and takes in heartbeats. */
export class FleetTalk {
  readonly peers: FleetPeers;
  readonly #options: FleetTalkOptions;
  readonly #startedAt: number;
  #sequence = 0;
  #peerCount = 0;
  #lastBeatAt = -Infinity;
  #lastRetryAt = -Infinity;
  #cancelTimer: CancelTimer | undefined;
  #timerAt = Infinity;
  /** Those that were told of and not heard yet; the next heartbeat goes there too. */
  readonly #introduced = new Set<Endpoint>();
  #isStopped = false;

  constructor(options: FleetTalkOptions) {
    this.#options = options;
    this.peers = FleetPeers.create(options.clock, options.log);
    this.#startedAt = options.clock.now();
  }

  static create(options: FleetTalkOptions): FleetTalk {
    return new FleetTalk(options);
  }

  start(): void {
    this.#options.link.onDatagram((bytes, from) =>
      this.#handleDatagram(bytes, from)
    );
    this.#sendBeats();
  }

  stop(): void {
    this.#isStopped = true;
    this.#cancelTimer?.();
  }

  /** Sends a heartbeat soon, since there is news of this VM. */
  announceNews(): void {
    const perPeerMs = NEWS_WAIT_PER_PEER_MS * this.#peerCount;
    this.#setTimer(this.#lastBeatAt + Math.max(NEWS_WAIT_MS, perPeerMs));
  }

  /** Sends a heartbeat at once: callers or replicas depend on it. */
  announceAtOnce(): void {
    this.#setTimer(this.#options.clock.now());
  }

  #setTimer(at: number): void {
    if (this.#isStopped || at >= this.#timerAt) return;
    this.#cancelTimer?.();
    const { clock } = this.#options;
    this.#timerAt = at;
    this.#cancelTimer = clock.startTimer(
      Math.max(0, at - clock.now()),
      () => this.#sendBeats(),
    );
  }

  #sendBeats(): void {
    const { clock, link } = this.#options;
    const now = clock.now();
    this.#timerAt = Infinity;
    this.#lastBeatAt = now;
    const beatEveryMs = Math.max(
      BEAT_EVERY_MS,
      BEAT_PER_PEER_MS * this.#peerCount,
    );
    this.peers.checkSilence(MISSED_BEATS * beatEveryMs);
    this.#peerCount = this.peers.listLive().length;
    const bytes = this.#encodeBeat();
    for (const to of this.#listTargets(now)) link.send(to, bytes);
    this.#setTimer(now + beatEveryMs);
  }

  #listTargets(now: number): Set<Endpoint> {
    const live = this.peers.listLive();
    const targets = new Set(live.map((peer) => peer.endpoint));
    const isEager = live.length === 0 && now - this.#startedAt < EAGER_MS;
    if (isEager || now - this.#lastRetryAt >= RETRY_EVERY_MS) {
      this.#lastRetryAt = now;
      this.peers.listSilent().forEach((peer) => targets.add(peer.endpoint));
      this.#options.getSeeds().forEach((seed) => targets.add(seed));
    }
    this.#introduced.forEach((endpoint) => targets.add(endpoint));
    this.#introduced.clear();
    targets.delete(this.#options.self);
    return targets;
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
    if (message.kind === "members") this.#announceTo(message);
    else this.#handleBeat(message, from);
  }

  #handleBeat(beat: FleetBeat, from: Endpoint): void {
    if (beat.vm === this.#options.vm) return;
    const { isNew } = this.peers.noteBeat(beat, from);
    if (isNew) this.#answerNew(from);
    const peer = this.peers.find(beat.vm);
    if (peer?.beat === beat) this.#options.onBeat(peer);
  }

  /** Tells a VM that was unknown whom this VM hears, and of this VM. */
  #answerNew(to: Endpoint): void {
    const endpoints = this.peers.listLive().map((peer) => peer.endpoint)
      .filter((endpoint) => endpoint !== to);
    const message: MembersMessage = { kind: "members", endpoints };
    this.#options.link.send(to, encodeMessage(message));
    this.announceAtOnce();
  }

  /**
   * Makes itself known to VMs that it had not heard of, by a heartbeat that
   * goes to all: news is told in one heartbeat only, and VMs that are heard
   * already would miss what one to the new VMs alone tells.
   */
  #announceTo(message: MembersMessage): void {
    const known = new Set(this.peers.listLive().map((peer) => peer.endpoint));
    known.add(this.#options.self);
    const unknown = message.endpoints.filter((each) => !known.has(each));
    if (unknown.length === 0) return;
    unknown.forEach((endpoint) => this.#introduced.add(endpoint));
    this.announceAtOnce();
  }

  /** The next heartbeat of this life. */
  #encodeBeat(): Buffer {
    this.#sequence += 1;
    return encodeMessage({
      kind: "beat",
      sequence: this.#sequence,
      ...this.#options.buildBeat(),
    });
  }
}
