/**
 * Which VMs a heartbeat goes to.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { Clock } from "../clock.ts";
import type { VmId } from "../../ids.ts";
import type { Random } from "../random.ts";
import type { FleetPeers } from "./fleet_peers.ts";

/**
 * A newer version or list is told to so many VMs in a large fleet. All VMs see
 * it at about the same time and each tells of it, so one that cannot read the
 * store hears of it from several: all but one in four hundred do at once, and
 * the others by the next heartbeats.
 */
const STATE_NEWS_PEERS = 6;
/** Seeds and silent VMs are tried this often, in milliseconds. */
const RETRY_EVERY_MS = 500;
/** Of the silent VMs so many are tried at a time. */
const RETRIED_PEERS = 8;
/** While nobody is heard, seeds are tried at each heartbeat for so long. */
const EAGER_MS = 5_000;

/** What the choice needs. */
export interface HeartbeatTargetsOptions {
  clock: Clock;
  random: Random;
  peers: FleetPeers;
  /** Where other VMs may take datagrams; may be stale. */
  getSeeds: () => readonly Endpoint[];
  /** Where this VM takes datagrams. */
  self: Endpoint;
}

/** Chooses among those that are heard, the silent ones and the seeds. */
export class HeartbeatTargets {
  readonly #options: HeartbeatTargetsOptions;
  readonly #startedAt: number;
  #lastRetryAt = -Infinity;
  /** Those that a heartbeat goes to next, in random order. */
  #round: VmId[] = [];

  constructor(options: HeartbeatTargetsOptions) {
    this.#options = options;
    this.#startedAt = options.clock.now();
  }

  static create(options: HeartbeatTargetsOptions): HeartbeatTargets {
    return new HeartbeatTargets(options);
  }

  /** Everybody who is heard. */
  listLive(): Endpoint[] {
    return this.#options.peers.listLive().map((peer) => peer.endpoint);
  }

  /** Some of those that are heard, for news that others tell as well. */
  pickSome(): Endpoint[] {
    return this.#options.random.pickSome(this.listLive(), STATE_NEWS_PEERS);
  }

  /**
   * The next `count` of those that are heard, each once in a round. Heartbeats
   * to all at a time would be as many, yet what they say, such as the age of a
   * view, would be as old as a round is long. Sent to a few at a time in random
   * order it is handed on by each that hears it, and reaches all within a
   * second.
   */
  pickNext(count: number): Endpoint[] {
    const { peers, random } = this.#options;
    if (this.#round.length === 0) {
      const names = peers.listLive().map(({ heartbeat }) => heartbeat.vm);
      this.#round = random.pickOrder(names);
    }
    return this.#round.splice(0, count).map((vm) => peers.find(vm))
      .filter((peer) => peer !== undefined && peer.isLive)
      .map((peer) => peer!.endpoint);
  }

  /**
   * Silent VMs, and seeds that are not heard, where it is time to try them:
   * after a partition both sides would else take each other for gone for good.
   */
  listRetried(): Endpoint[] {
    const { clock, peers, getSeeds, random, self } = this.#options;
    const now = clock.now();
    const isEager = peers.listLive().length === 0 &&
      now - this.#startedAt < EAGER_MS;
    if (!isEager && now - this.#lastRetryAt < RETRY_EVERY_MS) return [];
    this.#lastRetryAt = now;
    const silent = random.pickSome(peers.listSilent(), RETRIED_PEERS)
      .map((peer) => peer.endpoint);
    const heard = new Set([...this.listLive(), self]);
    const seeds = getSeeds().filter((each) => !heard.has(each));
    return [...silent, ...seeds];
  }
}
