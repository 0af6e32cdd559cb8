/**
 * How much of its time each replica spent reading prompts lately.
 *
 * A replica reads prompts between the tokens of its running streams, so each
 * prompt makes all of them pause. Where prompts were read lately, more come:
 * replicas that hold their shared parts are chosen for them.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";

/** About as long as a stream of a few hundred tokens lasts, in milliseconds. */
const TIME_CONSTANT_MS = 2_000;

interface Reading {
  /** Milliseconds of reading, the older the less they count. */
  ms: number;
  countedAt: number;
}

/** Shares of time by replica, 0 to 1 and above where prompts queue. */
export class ReadingShares {
  readonly #clock: Clock;
  readonly #readings = new Map<VmId, Reading>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): ReadingShares {
    return new ReadingShares(clock);
  }

  /** Takes in that a prompt was sent whose reading takes `ms`. */
  addReading(replica: VmId, ms: number): void {
    const decayed = this.getShare(replica) * TIME_CONSTANT_MS;
    this.#readings.set(replica, {
      ms: decayed + ms,
      countedAt: this.#clock.now(),
    });
  }

  getShare(replica: VmId): number {
    const reading = this.#readings.get(replica);
    if (reading === undefined) return 0;
    const age = this.#clock.now() - reading.countedAt;
    return reading.ms * Math.exp(-age / TIME_CONSTANT_MS) / TIME_CONSTANT_MS;
  }

  /** Forgets replicas that are not listed any more. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#readings.keys()) {
      if (!isListed(replica)) this.#readings.delete(replica);
    }
  }
}
