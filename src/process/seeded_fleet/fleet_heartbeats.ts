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
import { EarliestTimer } from "../earliest_timer.ts";
import type { SuspectEntry } from "../quarantine/index.ts";
import { HEARTBEAT_EVERY_MS, HeartbeatInterval } from "./heartbeat_interval.ts";
import type { FleetHeartbeatsOptions } from "./heartbeat_options.ts";
import {
  encodeMessage,
  type FleetHeartbeat,
  type FleetMessage,
} from "./fleet_message.ts";
import { type FleetPeer, FleetPeers } from "./fleet_peers.ts";
import { HeartbeatTargets } from "./heartbeat_targets.ts";
import { MessageReceiver } from "./message_receiver.ts";
import { buildSuspectMessages } from "./suspect_messages.ts";

/**
 * News waits so long for more news, in milliseconds, where each VM decides by
 * itself. In a large fleet the owner counts a request as it places it; how far
 * it has come can wait for the next heartbeat.
 */
const NEWS_WAIT_MS = 25;
/**
 * Where all are told of each other's work the wait grows with their number: a
 * VM sends at most 330 such datagrams a second.
 */
const NEWS_WAIT_PER_PEER_MS = 3;
/** What is new in a row is told at once, in milliseconds. */
const STATE_WAIT_MS = 50;
/** A timer that fires so late, in ms, shows that this VM was held up. */
const HELD_UP_MS = 300;
/**
 * Those that place requests are told again, in milliseconds, what they were
 * told before: a datagram may have been lost. Between these times, and where
 * there is no news, a short message says that this VM lives.
 */
const WHOLE_HEARTBEAT_EVERY_MS = 1_000;

/** Sends and takes in heartbeats. */
export class FleetHeartbeats {
  readonly peers: FleetPeers;
  readonly #options: FleetHeartbeatsOptions;
  readonly #targets: HeartbeatTargets;
  readonly #receiver: MessageReceiver;
  readonly #timer: EarliestTimer;
  #sequence = 0;
  #peerCount = 0;
  #toOwners = new Set<Endpoint>();
  /** When all of those that place requests were told all, and what. */
  #lastWhole = { text: "", at: -Infinity };
  /** When each that is heard has had its heartbeat of this round. */
  #roundEndsAt = 0;
  /** Whether some VMs alone place requests, as the last heartbeat went. */
  #isOwned = false;
  #hasStateNews = false;
  /** Time between heartbeats to all. */
  readonly #interval = HeartbeatInterval.create();
  /** When the next one goes to all at once. */
  #allDueAt = 0;
  #lastHeartbeatAt = -Infinity;

  constructor(options: FleetHeartbeatsOptions) {
    this.#options = options;
    this.peers = FleetPeers.create(options.clock, options.log);
    this.#targets = HeartbeatTargets.create({ ...options, peers: this.peers });
    this.#receiver = MessageReceiver.create({
      ...options,
      peers: this.peers,
      targets: this.#targets,
      sendPlain: (to) => this.#sendPlain(to),
    });
    this.#timer = EarliestTimer.create(
      options.clock,
      (lateMs) => this.#sendHeartbeats(lateMs),
    );
  }

  static create(options: FleetHeartbeatsOptions): FleetHeartbeats {
    return new FleetHeartbeats(options);
  }

  start(): void {
    this.#receiver.start();
    this.#sendHeartbeats(0);
  }

  stop(): void {
    this.#timer.stop();
  }

  /** Tells those that place requests soon of news of this VM's work. */
  announceNews(): void {
    if (this.#isOwned) return;
    const perPeerMs = NEWS_WAIT_PER_PEER_MS * this.#peerCount;
    this.#timer.setBy(
      this.#lastHeartbeatAt + Math.max(NEWS_WAIT_MS, perPeerMs),
    );
  }

  /** Tells all, or some in a large fleet, that a version or list is newer. */
  announceState(): void {
    if (!this.#isOwned) return this.announceAtOnce();
    this.#hasStateNews = true;
    this.#timer.setBy(this.#lastHeartbeatAt + STATE_WAIT_MS);
  }

  /** Tells all at once what callers depend on. */
  announceAtOnce(): void {
    this.#setAllDue(this.#options.clock.now());
  }

  /** Sends one datagram to another VM. */
  send(to: FleetPeer, message: FleetMessage): void {
    this.#options.link.send(to.endpoint, encodeMessage(message));
  }

  /** Tells other VMs of evidence against requests. */
  sendSuspects(
    to: readonly FleetPeer[],
    entries: readonly SuspectEntry[],
  ): void {
    const endpoints = new Set(to.map(({ endpoint }) => endpoint));
    for (const message of buildSuspectMessages(entries)) {
      this.#sendAll(endpoints, message);
    }
  }

  #setAllDue(at: number): void {
    this.#allDueAt = Math.min(this.#allDueAt, at);
    this.#timer.setBy(this.#allDueAt);
  }

  #sendHeartbeats(lateMs: number): void {
    const now = this.#options.clock.now();
    this.#lastHeartbeatAt = now;
    this.#checkSilence(lateMs);
    const owners = this.#options.listOwners();
    this.#isOwned = owners !== undefined;
    const toAll = this.#listTargets(now);
    const toOwners = owners === undefined ? toAll : this.#findEndpoints(owners);
    // One that is no owner now was told to expect a heartbeat soon.
    const others = new Set(toAll);
    if (this.#isOwned) this.#toOwners.forEach((to) => others.add(to));
    toOwners.forEach((to) => others.delete(to));
    this.#sendToOwners(toOwners);
    this.#toOwners = toOwners;
    this.#sendPlain(others);
    this.#timer.setBy(
      this.#isOwned
        ? Math.min(this.#allDueAt, now + HEARTBEAT_EVERY_MS)
        : this.#allDueAt,
    );
  }

  /**
   * A VM that was held up has not read its sockets yet and would take all
   * others for gone, and callers would be told of no other VM.
   */
  #checkSilence(lateMs: number): void {
    if (lateMs < HELD_UP_MS) {
      const missed = this.peers.checkSilence();
      if (missed.length > 0) this.#announceSilent(missed);
    }
    this.#peerCount = this.peers.listLive().length;
  }

  /** Those that place requests hear each VM often; the others do not. */
  #announceSilent(missed: [VmId, number][]): void {
    const { link, listOwners, vm } = this.#options;
    if (!listOwners()?.has(vm)) return;
    const bytes = encodeMessage({ kind: "silent", vms: missed });
    for (const peer of this.peers.listLive()) link.send(peer.endpoint, bytes);
  }

  #findEndpoints(vms: Iterable<VmId>): Set<Endpoint> {
    const endpoints = [...vms].map((vm) => this.peers.find(vm)?.endpoint);
    return new Set(endpoints.filter((each) => each !== undefined));
  }

  /** Each hears the news of its own pools. */
  #sendToOwners(toOwners: ReadonlySet<Endpoint>): void {
    const nextMs = this.#isOwned ? HEARTBEAT_EVERY_MS : this.#interval.ms;
    const isWhole = !this.#isOwned || this.#isWholeDue(toOwners);
    for (const { owners, work, isNew } of this.#options.takeWork()) {
      const to = owners === undefined ? toOwners : this.#findEndpoints(owners);
      if (isWhole || isNew) {
        this.#sendAll(to, { ...this.#buildHeartbeat(nextMs), work });
      } else {
        this.#sendAlive(to);
      }
    }
  }

  #isWholeDue(toOwners: ReadonlySet<Endpoint>): boolean {
    const now = this.#options.clock.now();
    const text = JSON.stringify({
      ...this.#options.buildHeartbeat(),
      listAgeMs: 0,
    });
    const isSaid = text === this.#lastWhole.text &&
      [...toOwners].every((each) => this.#toOwners.has(each));
    if (isSaid && now - this.#lastWhole.at < WHOLE_HEARTBEAT_EVERY_MS) {
      return false;
    }
    this.#lastWhole = { text, at: now };
    return true;
  }

  #sendAlive(to: ReadonlySet<Endpoint>): void {
    const { vm, incarnation, listAgeMs } = this.#options.buildHeartbeat();
    this.#sequence += 1;
    const sequence = this.#sequence;
    this.#sendAll(to, { kind: "alive", vm, incarnation, sequence, listAgeMs });
  }

  #sendAll(to: ReadonlySet<Endpoint>, message: FleetMessage): void {
    if (to.size === 0) return;
    const bytes = encodeMessage(message);
    for (const each of to) this.#options.link.send(each, bytes);
  }

  /** Leaves the news to those that are told of work. */
  #sendPlain(to: ReadonlySet<Endpoint>): void {
    if (to.size > 0) this.#sendAll(to, this.#buildHeartbeat(this.#interval.ms));
  }

  /** Who gets a heartbeat now, beside those that place requests. */
  #listTargets(now: number): Set<Endpoint> {
    const retried = this.#targets.listRetried();
    if (!this.#isOwned) {
      this.#interval.update(false, this.#peerCount);
      this.#allDueAt = now + this.#interval.ms;
      return new Set([...this.#targets.listLive(), ...retried]);
    }
    const next = now >= this.#allDueAt
      ? this.#targets.listLive()
      : this.#targets.pickNext(this.#countNext(now));
    this.#allDueAt = Infinity;
    const some = this.#hasStateNews ? this.#targets.pickSome() : [];
    this.#hasStateNews = false;
    return new Set([...next, ...some, ...retried]);
  }

  /** So many at a time that each is told once in a round. */
  #countNext(now: number): number {
    if (now >= this.#roundEndsAt) {
      this.#interval.update(true, this.#peerCount);
      this.#roundEndsAt = now + this.#interval.ms;
    }
    return Math.ceil(this.#peerCount * HEARTBEAT_EVERY_MS / this.#interval.ms);
  }

  #buildHeartbeat(nextMs: number): FleetHeartbeat {
    this.#sequence += 1;
    return {
      kind: "heartbeat",
      sequence: this.#sequence,
      nextMs,
      heard: this.#peerCount,
      ...this.#options.buildHeartbeat(),
    };
  }
}
