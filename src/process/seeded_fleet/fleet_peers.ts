/**
 * The other entry VMs, as far as they are heard.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { AliveMessage, FleetHeartbeat } from "./fleet_message.ts";

/** A VM that was silent for so long is not tried any more. */
const FORGOTTEN_AFTER_MS = 120_000;
/** Heartbeats that a live VM may miss before it counts as gone. */
const MISSED_HEARTBEATS = 6;
/** The last heartbeat reaches two VMs within so many milliseconds. */
const ON_THE_WAY_MS = 100;

/** Another VM. */
export interface FleetPeer {
  heartbeat: FleetHeartbeat;
  /** Where it takes datagrams. */
  endpoint: Endpoint;
  /** `Clock.now()` when it was heard last. */
  heardAt: number;
  isLive: boolean;
}

/** Heard VMs by name. */
export class FleetPeers {
  readonly #clock: Clock;
  readonly #log: Log;
  readonly #peers = new Map<VmId, FleetPeer>();
  #revision = 0;

  constructor(clock: Clock, log: Log) {
    this.#clock = clock;
    this.#log = log;
  }

  static create(clock: Clock, log: Log): FleetPeers {
    return new FleetPeers(clock, log);
  }

  /**
   * Grows with each change of who is heard and of what owners are chosen by.
   */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Takes in a heartbeat; says whether this life of the VM was unknown or
   * silent until now.
   */
  noteHeartbeat(
    heartbeat: FleetHeartbeat,
    endpoint: Endpoint,
  ): { isNew: boolean } {
    const known = this.#peers.get(heartbeat.vm);
    const isSameLife = known?.heartbeat.incarnation === heartbeat.incarnation;
    // A datagram that comes late must not undo what a newer one said.
    if (isSameLife && heartbeat.sequence <= known.heartbeat.sequence) {
      return { isNew: false };
    }
    const isNew = !isSameLife || !known.isLive;
    if (isNew) {
      this.#log.info("peer_heard", {
        peer: heartbeat.vm,
        incarnation: heartbeat.incarnation,
        serving: heartbeat.isServing,
      });
    }
    if (isNew || isOtherCandidate(known.heartbeat, heartbeat)) {
      this.#revision += 1;
    }
    this.#peers.set(heartbeat.vm, {
      heartbeat,
      endpoint,
      heardAt: this.#clock.now(),
      isLive: true,
    });
    return { isNew };
  }

  /**
   * Takes in that a VM's last heartbeat still holds; undefined where that one
   * was not heard, or is missed.
   */
  noteAlive(alive: AliveMessage): FleetPeer | undefined {
    const { vm, incarnation, sequence, listAgeMs } = alive;
    const peer = this.#peers.get(vm);
    if (peer === undefined || !peer.isLive) return undefined;
    if (peer.heartbeat.incarnation !== incarnation) return undefined;
    if (sequence <= peer.heartbeat.sequence) return undefined;
    const { work: _told, ...heartbeat } = peer.heartbeat;
    peer.heartbeat = { ...heartbeat, sequence, listAgeMs };
    peer.heardAt = this.#clock.now();
    return peer;
  }

  /**
   * Marks VMs as gone that missed several heartbeats, so that some lost
   * datagrams take nobody out; forgets those that were long silent. Returns
   * those that are missed from now on, and for how many milliseconds.
   */
  checkSilence(): [VmId, number][] {
    const now = this.#clock.now();
    const missed: [VmId, number][] = [];
    for (const [vm, peer] of this.#peers) {
      const silentMs = now - peer.heardAt;
      if (peer.isLive && silentMs > MISSED_HEARTBEATS * peer.heartbeat.nextMs) {
        this.#setSilent(vm, peer);
        missed.push([vm, Math.round(silentMs)]);
      }
      if (silentMs > FORGOTTEN_AFTER_MS) this.#peers.delete(vm);
    }
    return missed;
  }

  /** Takes in that another VM misses `vm`, unless it was heard here since. */
  noteSilent(vm: VmId, silentMs: number): void {
    const peer = this.#peers.get(vm);
    if (peer === undefined || !peer.isLive) return;
    const silentHereMs = this.#clock.now() - peer.heardAt;
    if (silentHereMs + ON_THE_WAY_MS >= silentMs) this.#setSilent(vm, peer);
  }

  find(vm: VmId): FleetPeer | undefined {
    return this.#peers.get(vm);
  }

  /** VMs that are heard, or were not long ago. */
  listKnown(): VmId[] {
    return [...this.#peers.keys()];
  }

  /** VMs that are heard. */
  listLive(): FleetPeer[] {
    return [...this.#peers.values()].filter((peer) => peer.isLive);
  }

  /** VMs that were heard once and are silent. */
  listSilent(): FleetPeer[] {
    return [...this.#peers.values()].filter((peer) => !peer.isLive);
  }

  #setSilent(vm: VmId, peer: FleetPeer): void {
    peer.isLive = false;
    this.#revision += 1;
    const ms = Math.round(this.#clock.now() - peer.heardAt);
    this.#log.warn("peer_silent", { peer: vm, ms });
  }
}

/** Whether owners are chosen by something that is another now. */
function isOtherCandidate(
  before: FleetHeartbeat,
  after: FleetHeartbeat,
): boolean {
  return before.isServing !== after.isServing ||
    before.isDraining !== after.isDraining ||
    before.isPrimed !== after.isPrimed || before.cores !== after.cores;
}
