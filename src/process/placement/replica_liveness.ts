/**
 * When each replica last sent data, on any of this VM's calls.
 *
 * A replica that prefills long prompts may leave a new request without an
 * answer for seconds, yet it sends tokens of its running streams between two
 * chunks. One that is dead, frozen or cut off sends nothing at all. If one
 * second without data on a single call counted as death, calls to replicas that
 * serve others would be cut off under load and their prompts sent again
 * elsewhere.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/**
 * A replica counts as alive for this long after its last byte: a few times the
 * longest step of an engine, and half of what callers allow a silent stream.
 */
const ALIVE_MS = 1_000;

/** Last sign of life by replica. */
export class ReplicaLiveness {
  readonly #clock: Clock;
  readonly #activeAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ReplicaLiveness {
    return new ReplicaLiveness(clock);
  }

  /** Records that data has just arrived from the replica. */
  note(replica: VmId): void {
    this.#activeAt.set(replica, this.#clock.now());
  }

  /** Whether data from it arrived recently. */
  isAlive(replica: VmId): boolean {
    return this.#clock.now() - this.getActiveAt(replica) < ALIVE_MS;
  }

  /** When data last arrived from it, as `Clock.now()`; -Infinity for never. */
  getActiveAt(replica: VmId): number {
    return this.#activeAt.get(replica) ?? -Infinity;
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#activeAt.keys()) {
      if (!isListed(replica)) this.#activeAt.delete(replica);
    }
  }
}
