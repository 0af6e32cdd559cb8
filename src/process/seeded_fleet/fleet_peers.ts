/**
 * Other entry VMs and whether they are live.
 *
 * @module
 */
import type { Endpoint } from "../../connection/endpoint.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import { isSamePosition } from "../placement/list_position.ts";
import {
  type AliveMessage,
  type FleetHeartbeat,
  getListPosition,
} from "./fleet_message.ts";

/** A VM that was silent for this long is removed and no longer retried. */
const FORGET_AFTER_MS = 120_000;
/** Heartbeats that a live VM may miss before it is considered silent. */
const MAX_MISSED_HEARTBEATS = 6;
/**
 * Maximum difference between the times at which two VMs receive a peer's last
 * heartbeat.
 */
const ARRIVAL_SKEW_MS = 100;

/** Another entry VM. */
export interface FleetPeer {
  heartbeat: FleetHeartbeat;
  /** Where it receives datagrams. */
  endpoint: Endpoint;
  /** `Clock.now()` when the last message was received. */
  lastReceivedAt: number;
  isLive: boolean;
}

/** Peers by VM id. */
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
   * Increases when a peer becomes live or silent, or when a property changes
   * that the choice of owners depends on.
   */
  get revision(): number {
    return this.#revision;
  }

  /**
   * Records a heartbeat; `isNew` tells whether this incarnation of the VM was
   * unknown or silent until now.
   */
  noteHeartbeat(
    heartbeat: FleetHeartbeat,
    endpoint: Endpoint,
  ): { isNew: boolean } {
    const known = this.#peers.get(heartbeat.vm);
    const isSameIncarnation =
      known?.heartbeat.incarnation === heartbeat.incarnation;
    // A delayed datagram must not overwrite a newer one.
    if (isSameIncarnation && heartbeat.sequence <= known.heartbeat.sequence) {
      return { isNew: false };
    }
    const isNew = !isSameIncarnation || !known.isLive;
    if (isNew) {
      this.#log.info("peer_heard", {
        peer: heartbeat.vm,
        incarnation: heartbeat.incarnation,
        serving: heartbeat.isServing,
      });
    }
    if (isNew || hasOwnershipChange(known.heartbeat, heartbeat)) {
      this.#revision += 1;
    }
    this.#peers.set(heartbeat.vm, {
      heartbeat,
      endpoint,
      lastReceivedAt: this.#clock.now(),
      isLive: true,
    });
    return { isNew };
  }

  /**
   * Records that a VM's last heartbeat still holds. Returns undefined if that
   * heartbeat was not received, or if the VM is silent.
   */
  noteAlive(alive: AliveMessage): FleetPeer | undefined {
    const { vm, incarnation, sequence, listAgeMs } = alive;
    const peer = this.#peers.get(vm);
    if (peer === undefined || !peer.isLive) return undefined;
    if (peer.heartbeat.incarnation !== incarnation) return undefined;
    if (sequence <= peer.heartbeat.sequence) return undefined;
    // Neither is said anew: the work, and when the heartbeat was sent.
    const { work: _work, sentAt: _sentAt, ...heartbeat } = peer.heartbeat;
    peer.heartbeat = {
      ...heartbeat,
      sequence,
      listAgeMs,
      ...buildToldList(peer.heartbeat, alive),
    };
    peer.lastReceivedAt = this.#clock.now();
    return peer;
  }

  /**
   * Marks VMs as silent that missed several heartbeats, so that a few lost
   * datagrams remove no VM, and removes VMs that have been silent for long.
   * Returns the newly silent VMs with the duration of their silence in
   * milliseconds.
   */
  checkSilence(): [VmId, number][] {
    const now = this.#clock.now();
    const silent: [VmId, number][] = [];
    for (const [vm, peer] of this.#peers) {
      const silentMs = now - peer.lastReceivedAt;
      if (
        peer.isLive && silentMs > MAX_MISSED_HEARTBEATS * peer.heartbeat.nextMs
      ) {
        this.#setSilent(vm, peer);
        silent.push([vm, Math.round(silentMs)]);
      }
      if (silentMs > FORGET_AFTER_MS) this.#peers.delete(vm);
    }
    return silent;
  }

  /**
   * Applies another VM's report that `vm` is silent, unless this VM received a
   * message from it since.
   */
  noteSilent(vm: VmId, silentMs: number): void {
    const peer = this.#peers.get(vm);
    if (peer === undefined || !peer.isLive) return;
    const silentHereMs = this.#clock.now() - peer.lastReceivedAt;
    if (silentHereMs + ARRIVAL_SKEW_MS >= silentMs) this.#setSilent(vm, peer);
  }

  find(vm: VmId): FleetPeer | undefined {
    return this.#peers.get(vm);
  }

  /** All VMs that have not been removed yet, silent ones included. */
  listKnown(): VmId[] {
    return [...this.#peers.keys()];
  }

  listLive(): FleetPeer[] {
    return [...this.#peers.values()].filter((peer) => peer.isLive);
  }

  /** VMs that were live before and are silent now. */
  listSilent(): FleetPeer[] {
    return [...this.#peers.values()].filter((peer) => !peer.isLive);
  }

  #setSilent(vm: VmId, peer: FleetPeer): void {
    peer.isLive = false;
    this.#revision += 1;
    const ms = Math.round(this.#clock.now() - peer.lastReceivedAt);
    this.#log.warn("peer_silent", { peer: vm, ms });
  }
}

/** What an `alive` message tells of the sender's list. */
function buildToldList(
  heartbeat: FleetHeartbeat,
  { listRevision: revision, listEra: era }: AliveMessage,
): Partial<FleetHeartbeat> {
  if (revision === undefined) return {};
  const list = { listRevision: revision, listEra: era };
  const isSame = isSamePosition(getListPosition(heartbeat), { era, revision });
  return isSame ? list : { ...list, listDigest: undefined };
}

/** Whether a property changed that the choice of owners depends on. */
function hasOwnershipChange(
  before: FleetHeartbeat,
  after: FleetHeartbeat,
): boolean {
  return before.isServing !== after.isServing ||
    before.isDraining !== after.isDraining ||
    before.isPrimed !== after.isPrimed || before.cores !== after.cores;
}
