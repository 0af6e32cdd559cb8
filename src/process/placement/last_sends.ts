/**
 * The last request that this VM sent to each replica.
 *
 * @module
 */
import type { RequestId, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { LogFields } from "../log.ts";

/** A list as it was when a request was sent by it. */
export interface ListView {
  era: number;
  revision: number;
  /** Age of the list in milliseconds; -1 if it was never confirmed. */
  ageMs: number;
  /** The VM that gave it, or `store`. */
  from: VmId | "store";
}

/** Fields of a log line that names the list by which a request was sent. */
export function buildListFields(list: ListView): LogFields {
  return {
    list_era: list.era,
    list_revision: list.revision,
    list_age_ms: list.ageMs,
    list_from: list.from,
  };
}

/** A request when it was about to be written. */
export interface SentRequest {
  requestId: RequestId;
  list: ListView;
}

/** The last request to a replica. */
export interface LastSend extends SentRequest {
  /** Milliseconds since it was sent. */
  agoMs: number;
}

/** The last request to each listed replica. */
export class LastSends {
  readonly #clock: Clock;
  readonly #sent = new Map<VmId, SentRequest & { at: number }>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  static create(clock: Clock): LastSends {
    return new LastSends(clock);
  }

  /** Records that a request is about to be written. */
  note(replica: VmId, sent: SentRequest): void {
    this.#sent.set(replica, { ...sent, at: this.#clock.now() });
  }

  /** The last request to a replica; undefined if there was none. */
  find(replica: VmId): LastSend | undefined {
    const sent = this.#sent.get(replica);
    if (sent === undefined) return undefined;
    const { requestId, list, at } = sent;
    return { requestId, list, agoMs: Math.round(this.#clock.now() - at) };
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#sent.keys()) {
      if (!isListed(replica)) this.#sent.delete(replica);
    }
  }
}
