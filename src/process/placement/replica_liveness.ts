/**
 * When each replica last sent anything, on any of this VM's calls.
 *
 * A replica that reads long prompts answers nobody else's new request for
 * seconds, yet sends tokens of its running streams between two chunks. One that
 * is dead, frozen or cut off sends nothing at all. Where a silent second on one
 * call was taken for death, 344 calls were cut in 50 s of a flood at replicas
 * that served others, and 262 prompts were sent again elsewhere.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/**
 * A replica counts as alive for so long after its last byte, in milliseconds:
 * a few times the longest step of an engine, and half of what callers allow a
 * silent stream.
 */
const ALIVE_MS = 1_000;

/** Last liveness of life by replica. */
export class ReplicaLiveness {
  readonly #clock: Clock;
  readonly #seenAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ReplicaLiveness {
    return new ReplicaLiveness(clock);
  }

  /** Bytes came from the replica just now. */
  note(replica: VmId): void {
    this.#seenAt.set(replica, this.#clock.now());
  }

  /** Whether bytes came from it of late. */
  isAlive(replica: VmId): boolean {
    const seenAt = this.#seenAt.get(replica) ?? -Infinity;
    return this.#clock.now() - seenAt < ALIVE_MS;
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#seenAt.keys()) {
      if (!isListed(replica)) this.#seenAt.delete(replica);
    }
  }
}
