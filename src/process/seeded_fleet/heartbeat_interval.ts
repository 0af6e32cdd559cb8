/**
 * Interval between heartbeats to all peers.
 *
 * @module
 */

/** Interval of heartbeats that carry nothing new. */
export const HEARTBEAT_INTERVAL_MS = 150;
/**
 * The interval grows with the number of peers, so that a VM of a large fleet of
 * any size sends 10 of these heartbeats a second. Pool owners receive a message
 * from each VM at every `HEARTBEAT_INTERVAL_MS` and report silent VMs to the
 * others.
 */
const HEARTBEAT_PER_PEER_MS = 100;
/**
 * The same in a small fleet, where all VMs exchange their work: at most 100 a
 * second.
 */
const SMALL_FLEET_HEARTBEAT_PER_PEER_MS = 10;
/**
 * A peer that was first in one round and is last in the next waits for the
 * announced interval times one plus this factor, which must stay below
 * `MAX_MISSED_HEARTBEATS`.
 */
const MAX_GROWTH_FACTOR = 3;

/** The current interval between heartbeats to all peers. */
export class HeartbeatInterval {
  #ms = HEARTBEAT_INTERVAL_MS;

  static create(): HeartbeatInterval {
    return new HeartbeatInterval();
  }

  get ms(): number {
    return this.#ms;
  }

  /**
   * Adapts the interval to the number of peers; `hasOwners` tells whether pools
   * have owners. The interval grows by at most `MAX_GROWTH_FACTOR` at a time: a
   * peer that missed the first heartbeat with the longer interval still expects
   * the next one at the old interval, and would consider this VM silent before
   * it arrives.
   */
  update(hasOwners: boolean, peerCount: number): void {
    const perPeerMs = hasOwners
      ? HEARTBEAT_PER_PEER_MS
      : SMALL_FLEET_HEARTBEAT_PER_PEER_MS;
    const targetMs = Math.max(HEARTBEAT_INTERVAL_MS, perPeerMs * peerCount);
    this.#ms = Math.min(targetMs, MAX_GROWTH_FACTOR * this.#ms);
  }
}
