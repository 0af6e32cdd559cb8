/**
 * Chooses the VMs that a heartbeat goes to.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { Clock } from "../clock.ts";
import type { VmId } from "../../ids.ts";
import type { Random } from "../random.ts";
import type { FleetPeers } from "./fleet_peers.ts";

/**
 * Number of peers that get a newer configuration or list at once in a large
 * fleet. All VMs that watch the store see a change at about the same time and
 * each announces it, so a VM that cannot read the store gets it from several
 * peers: all but one in four hundred do at once, the others with the next
 * heartbeats.
 */
const STATE_UPDATE_PEERS = 6;
/** Interval at which seeds and silent VMs are retried. */
const RETRY_INTERVAL_MS = 500;
/** Maximum number of silent VMs retried at a time. */
const MAX_RETRIED_PEERS = 8;
/**
 * Time after the start during which a VM without live peers tries its seeds
 * with each heartbeat.
 */
const STARTUP_RETRY_MS = 5_000;

/** Options of `HeartbeatTargets`. */
export interface HeartbeatTargetsOptions {
  clock: Clock;
  random: Random;
  peers: FleetPeers;
  /** Datagram endpoints of other VMs; may be stale. */
  getSeeds: () => readonly Endpoint[];
  /** Datagram endpoint of this VM. */
  self: Endpoint;
}

/** Chooses among live peers, silent peers and seeds. */
export class HeartbeatTargets {
  readonly #options: HeartbeatTargetsOptions;
  readonly #startedAt: number;
  #lastRetryAt = -Infinity;
  /** Peers that have not had a heartbeat in this round, in random order. */
  #round: VmId[] = [];

  constructor(options: HeartbeatTargetsOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  static create(options: HeartbeatTargetsOptions): HeartbeatTargets {
    return new HeartbeatTargets(options);
  }

  /** Endpoints of all live peers. */
  listLive(): Endpoint[] {
    return this.#options.peers.listLive().map((peer) => peer.endpoint);
  }

  /** Some live peers, for changes that other VMs announce as well. */
  pickSome(): Endpoint[] {
    return this.#options.random.pickSample(this.listLive(), STATE_UPDATE_PEERS);
  }

  /**
   * The next `count` live peers; each is picked once in a round. Heartbeats to
   * all peers at once would cost as much, but their content, such as the age of
   * a view, would be as old as a round is long. In random order, a few at a
   * time, such content spreads from peer to peer and reaches all VMs within a
   * second.
   */
  pickNext(count: number): Endpoint[] {
    const { peers, random } = this.#options;
    if (this.#round.length === 0) {
      const ids = peers.listLive().map(({ heartbeat }) => heartbeat.vm);
      this.#round = random.toShuffled(ids);
    }
    return this.#round.splice(0, count).map((vm) => peers.find(vm))
      .filter((peer) => peer !== undefined && peer.isLive)
      .map((peer) => peer!.endpoint);
  }

  /**
   * Silent VMs, and seeds that are not live peers, when a retry is due: without
   * it both sides of a partition would consider each other gone for good.
   */
  listRetryTargets(): Endpoint[] {
    const { clock, peers, getSeeds, random, self } = this.#options;
    const now = clock.now();
    const isStarting = peers.listLive().length === 0 &&
      now - this.#startedAt < STARTUP_RETRY_MS;
    if (!isStarting && now - this.#lastRetryAt < RETRY_INTERVAL_MS) return [];
    this.#lastRetryAt = now;
    const silent = random.pickSample(peers.listSilent(), MAX_RETRIED_PEERS)
      .map((peer) => peer.endpoint);
    const live = new Set([...this.listLive(), self]);
    const seeds = getSeeds().filter((each) => !live.has(each));
    return [...silent, ...seeds];
  }
}
