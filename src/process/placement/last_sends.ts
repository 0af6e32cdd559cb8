/**
 * When this VM last sent a request to each replica.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** The last request to each listed replica. */
export class LastSends {
  readonly #clock: Clock;
  readonly #sentAt = new Map<VmId, number>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LastSends {
    return new LastSends(clock);
  }

  /** Records that a request is about to be written. */
  note(replica: VmId): void {
    this.#sentAt.set(replica, this.#clock.now());
  }

  /** Milliseconds since the last request; undefined if there was none. */
  getMsSince(replica: VmId): number | undefined {
    const sentAt = this.#sentAt.get(replica);
    return sentAt === undefined
      ? undefined
      : Math.round(this.#clock.now() - sentAt);
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#sentAt.keys()) {
      if (!isListed(replica)) this.#sentAt.delete(replica);
    }
  }
}
