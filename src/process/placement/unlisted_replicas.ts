/**
 * Replicas that left the list a short while ago.
 *
 * An entry may expire while its replica goes on, and return. What the replica
 * has asked for, such as a back-off, still binds then.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

const KEEP_MS = 60_000;

/** Since when replicas are no longer listed. */
export class UnlistedReplicas {
  readonly #clock: Clock;
  readonly #unlistedAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): UnlistedReplicas {
    return new UnlistedReplicas(clock);
  }

  /**
   * Records whether a replica is listed now; returns whether it is, or was
   * within the last minute.
   */
  noteListing(replica: VmId, isListed: boolean): boolean {
    if (isListed) {
      this.#unlistedAt.delete(replica);
      return true;
    }
    const unlistedAt = this.#unlistedAt.get(replica) ?? this.#clock.now();
    this.#unlistedAt.set(replica, unlistedAt);
    return this.#isKept(unlistedAt);
  }

  /** Forgets replicas that were not listed within the last minute. */
  dropExpired(): void {
    for (const [replica, unlistedAt] of this.#unlistedAt) {
      if (!this.#isKept(unlistedAt)) this.#unlistedAt.delete(replica);
    }
  }

  #isKept(unlistedAt: number): boolean {
    return this.#clock.now() < unlistedAt + KEEP_MS;
  }
}
