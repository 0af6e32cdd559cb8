/**
 * How often a VM tells all others that it lives.
 *
 * @module
 */

/** Without news a heartbeat goes out this often, in milliseconds. */
export const HEARTBEAT_EVERY_MS = 150;
/**
 * Heartbeats to all grow rarer with their number: a VM sends 10 of them a
 * second in a large fleet of any size. Those that place requests hear each VM
 * at every `HEARTBEAT_EVERY_MS`, and tell the others whom they miss.
 */
const HEARTBEAT_PER_PEER_MS = 100;
/** The same where all hear of each other's work: 100 a second at most. */
const SMALL_FLEET_HEARTBEAT_PER_PEER_MS = 10;
/**
 * One that was first in a round and is last in the next waits for one and this
 * many times the time that it was told: less than the heartbeats that a live VM
 * may miss.
 */
const MOST_GROWTH = 3;

/** The time between heartbeats to all. */
export class HeartbeatInterval {
  #ms = HEARTBEAT_EVERY_MS;

  static create(): HeartbeatInterval {
    return new HeartbeatInterval();
  }

  /** In milliseconds. */
  get ms(): number {
    return this.#ms;
  }

  /**
   * Follows the number of peers; `isOwned` where some VMs alone place requests.
   * Grows by `MOST_GROWTH` at a time: one that misses the first rarer
   * heartbeat expects the next one at the old time, and would else take this
   * VM for gone before it comes.
   */
  update(isOwned: boolean, peerCount: number): void {
    const perPeerMs = isOwned
      ? HEARTBEAT_PER_PEER_MS
      : SMALL_FLEET_HEARTBEAT_PER_PEER_MS;
    const wantedMs = Math.max(HEARTBEAT_EVERY_MS, perPeerMs * peerCount);
    this.#ms = Math.min(wantedMs, MOST_GROWTH * this.#ms);
  }
}
