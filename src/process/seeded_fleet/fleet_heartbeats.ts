/**
 * Heartbeats between entry VMs that discover each other through seeds.
 *
 * Seeds may be stale or down, so a VM sends its list of live peers to each VM
 * that it newly discovers. Silent VMs and seeds are retried from time to time:
 * without that, both sides of a partition would consider each other gone for
 * good.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import { EarliestTimer } from "../earliest_timer.ts";
import type { CrashNews } from "../quarantine/suspect_entry.ts";
import {
  HEARTBEAT_INTERVAL_MS,
  HeartbeatInterval,
} from "./heartbeat_interval.ts";
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
 * Work updates are batched for this time where each VM places requests itself.
 * In a large fleet the owner counts a request when it places it, so later
 * progress can wait for the next heartbeat.
 */
const UPDATE_DELAY_MS = 25;
/**
 * The same in a large fleet while requests of this VM wait at an owner: it places
 * them by when replicas finish their work.
 */
const WAITED_UPDATE_DELAY_MS = 40;
/**
 * Where work updates go to all VMs, the delay grows with the number of peers,
 * so that a VM sends at most 330 of these datagrams a second.
 */
const UPDATE_DELAY_PER_PEER_MS = 3;
/** Delay within which several state changes in a row are sent together. */
const STATE_DELAY_MS = 50;
/** A timer that fires this late shows that this VM was stalled. */
const STALL_THRESHOLD_MS = 300;
/**
 * Pool owners get a full heartbeat at this interval even if nothing changed,
 * because an earlier datagram may have been lost. In between, a short `alive`
 * message is sent when there is nothing new.
 */
const FULL_HEARTBEAT_INTERVAL_MS = 1_000;

/** Sends and receives heartbeats. */
export class FleetHeartbeats {
  readonly peers: FleetPeers;
  readonly #options: FleetHeartbeatsOptions;
  readonly #targets: HeartbeatTargets;
  readonly #receiver: MessageReceiver;
  readonly #timer: EarliestTimer;
  #sequence = 0;
  #peerCount = 0;
  /** Endpoints of the owners, as of the last heartbeat. */
  #ownerEndpoints = new Set<Endpoint>();
  /**
   * Content of the last full heartbeat to all pool owners, and when it was
   * sent.
   */
  #lastFullHeartbeat = { text: "", at: -Infinity };
  /** End of the current round, in which each live peer gets one heartbeat. */
  #roundEndsAt = 0;
  /** Whether some VMs are pool owners, as of the last heartbeat. */
  #hasOwners = false;
  #hasStateUpdate = false;
  /** Interval of heartbeats to all peers. */
  readonly #interval = HeartbeatInterval.create();
  /** When the next heartbeat is due for all peers at once. */
  #broadcastDueAt = 0;
  #lastHeartbeatAt = -Infinity;

  constructor(options: FleetHeartbeatsOptions) {
    this.#options = options;
    this.peers = FleetPeers.create(options.clock, options.log);
    this.#targets = HeartbeatTargets.create({ ...options, peers: this.peers });
    this.#receiver = MessageReceiver.create({
      ...options,
      peers: this.peers,
      targets: this.#targets,
      sendWithoutWork: (to) => this.#sendWithoutWork(to),
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

  /**
   * Schedules an update of this VM's work, where each VM places requests itself
   * or requests wait at their owner.
   */
  announceWork(): void {
    if (this.#hasOwners) {
      if (!this.#options.hasRecentWaits()) return;
      this.#timer.setBy(this.#lastHeartbeatAt + WAITED_UPDATE_DELAY_MS);
      return;
    }
    const perPeerMs = UPDATE_DELAY_PER_PEER_MS * this.#peerCount;
    this.#timer.setBy(
      this.#lastHeartbeatAt + Math.max(UPDATE_DELAY_MS, perPeerMs),
    );
  }

  /**
   * Announces a newer configuration or replica list: to all peers, or to some
   * of them in a large fleet.
   */
  announceState(): void {
    if (!this.#hasOwners) return this.announceNow();
    this.#hasStateUpdate = true;
    this.#timer.setBy(this.#lastHeartbeatAt + STATE_DELAY_MS);
  }

  /**
   * Sends a heartbeat to all peers at once, for changes that callers depend on.
   */
  announceNow(): void {
    this.#setBroadcastDue(this.#options.clock.now());
  }

  /** Sends one datagram to `to`. */
  send(to: FleetPeer, message: FleetMessage): void {
    this.#options.link.send(to.endpoint, encodeMessage(message));
  }

  /** Sends evidence about crashes to other VMs. */
  sendSuspects(to: readonly FleetPeer[], news: CrashNews): void {
    const endpoints = new Set(to.map(({ endpoint }) => endpoint));
    for (const message of buildSuspectMessages(news)) {
      this.#sendAll(endpoints, message);
    }
  }

  #setBroadcastDue(at: number): void {
    this.#broadcastDueAt = Math.min(this.#broadcastDueAt, at);
    this.#timer.setBy(this.#broadcastDueAt);
  }

  #sendHeartbeats(lateMs: number): void {
    const now = this.#options.clock.now();
    this.#lastHeartbeatAt = now;
    this.#checkSilence(lateMs);
    const owners = this.#options.listOwners();
    this.#hasOwners = owners !== undefined;
    const toAll = this.#listTargets(now);
    const toOwners = owners === undefined ? toAll : this.#findEndpoints(owners);
    // Former owners were told to expect the next heartbeat after the short
    // interval of owners, so they still get this one.
    const others = new Set(toAll);
    if (this.#hasOwners) this.#ownerEndpoints.forEach((to) => others.add(to));
    toOwners.forEach((to) => others.delete(to));
    this.#sendToOwners(toOwners);
    this.#ownerEndpoints = toOwners;
    this.#sendWithoutWork(others);
    this.#timer.setBy(
      this.#hasOwners
        ? Math.min(this.#broadcastDueAt, now + HEARTBEAT_INTERVAL_MS)
        : this.#broadcastDueAt,
    );
  }

  /**
   * Finds silent peers, except after a stall: a stalled VM has not read its
   * sockets yet, so it would consider all other VMs silent and name none of them
   * to callers.
   */
  #checkSilence(lateMs: number): void {
    if (lateMs < STALL_THRESHOLD_MS) {
      const silent = this.peers.checkSilence();
      if (silent.length > 0) this.#announceSilent(silent);
    }
    this.#peerCount = this.peers.listLive().length;
  }

  /**
   * Only pool owners receive frequent heartbeats from every VM, so they report
   * silent VMs to the others.
   */
  #announceSilent(silent: [VmId, number][]): void {
    const { link, listOwners, vm } = this.#options;
    if (!listOwners()?.has(vm)) return;
    const bytes = encodeMessage({ kind: "silent", vms: silent });
    for (const peer of this.peers.listLive()) link.send(peer.endpoint, bytes);
  }

  #findEndpoints(vms: Iterable<VmId>): Set<Endpoint> {
    const endpoints = [...vms].map((vm) => this.peers.find(vm)?.endpoint);
    return new Set(endpoints.filter((each) => each !== undefined));
  }

  /** Sends each owner the work of its own pools. */
  #sendToOwners(toOwners: ReadonlySet<Endpoint>): void {
    const nextMs = this.#hasOwners ? HEARTBEAT_INTERVAL_MS : this.#interval.ms;
    const isFull = !this.#hasOwners || this.#isFullHeartbeatDue(toOwners);
    for (const { owners, work, isNew } of this.#options.takeWorkUpdates()) {
      const to = owners === undefined ? toOwners : this.#findEndpoints(owners);
      if (isFull || isNew) {
        this.#sendAll(to, { ...this.#buildHeartbeat(nextMs), work });
      } else {
        this.#sendAlive(to);
      }
    }
  }

  #isFullHeartbeatDue(toOwners: ReadonlySet<Endpoint>): boolean {
    const now = this.#options.clock.now();
    const text = JSON.stringify({
      ...this.#options.buildHeartbeat(),
      listAgeMs: 0,
      confirmed: undefined,
    });
    const isUnchanged = text === this.#lastFullHeartbeat.text &&
      [...toOwners].every((each) => this.#ownerEndpoints.has(each));
    if (
      isUnchanged &&
      now - this.#lastFullHeartbeat.at < FULL_HEARTBEAT_INTERVAL_MS
    ) {
      return false;
    }
    this.#lastFullHeartbeat = { text, at: now };
    return true;
  }

  #sendAlive(to: ReadonlySet<Endpoint>): void {
    const { vm, incarnation, listAgeMs, listRevision, listEra } = this
      .#options.buildHeartbeat();
    this.#sequence += 1;
    const sequence = this.#sequence;
    this.#sendAll(to, {
      kind: "alive",
      vm,
      incarnation,
      sequence,
      listAgeMs,
      listRevision,
      listEra,
    });
  }

  #sendAll(to: ReadonlySet<Endpoint>, message: FleetMessage): void {
    if (to.size === 0) return;
    const bytes = encodeMessage(message);
    for (const each of to) this.#options.link.send(each, bytes);
  }

  /**
   * Sends a heartbeat without work, which only goes to VMs that place requests.
   */
  #sendWithoutWork(to: ReadonlySet<Endpoint>): void {
    if (to.size > 0) this.#sendAll(to, this.#buildHeartbeat(this.#interval.ms));
  }

  /** Endpoints that get a heartbeat now, besides those of pool owners. */
  #listTargets(now: number): Set<Endpoint> {
    const retried = this.#targets.listRetryTargets();
    if (!this.#hasOwners) {
      this.#interval.update(false, this.#peerCount);
      this.#broadcastDueAt = now + this.#interval.ms;
      return new Set([...this.#targets.listLive(), ...retried]);
    }
    const next = now >= this.#broadcastDueAt
      ? this.#targets.listLive()
      : this.#targets.pickNext(this.#countPerInterval(now));
    this.#broadcastDueAt = Infinity;
    const some = this.#hasStateUpdate ? this.#targets.pickSome() : [];
    this.#hasStateUpdate = false;
    return new Set([...next, ...some, ...retried]);
  }

  /**
   * Number of peers that get a heartbeat at each `HEARTBEAT_INTERVAL_MS`, so
   * that every peer gets one in a round.
   */
  #countPerInterval(now: number): number {
    if (now >= this.#roundEndsAt) {
      this.#interval.update(true, this.#peerCount);
      this.#roundEndsAt = now + this.#interval.ms;
    }
    return Math.ceil(
      this.#peerCount * HEARTBEAT_INTERVAL_MS / this.#interval.ms,
    );
  }

  #buildHeartbeat(nextMs: number): FleetHeartbeat {
    this.#sequence += 1;
    return {
      kind: "heartbeat",
      sequence: this.#sequence,
      nextMs,
      heard: this.#peerCount,
      sentAt: Math.floor(this.#options.clock.now()),
      ...this.#options.buildHeartbeat(),
    };
  }
}
