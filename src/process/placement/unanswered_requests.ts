/**
 * Requests that were written to a replica and have no answer yet.
 *
 * What was written may arrive late: a replica that hangs reads it when it goes
 * on, and a kernel sends again what a silent link has lost.
 *
 * @module
 */
import type { RequestId, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";

/** A request when it was written. */
export interface WrittenRequest {
  requestId: RequestId;
  replica: VmId;
  /** Revision of the list by which it was sent. */
  listRevision: number;
  /** Age of that list in milliseconds. */
  listAgeMs: number;
}

/** Options of `UnansweredRequests`. */
export interface UnansweredRequestsOptions {
  clock: Clock;
  log: Log;
}

/** One request, until its replica answers or the attempt ends. */
export class UnansweredRequest {
  readonly written: WrittenRequest;
  /** `Clock.now()` when its first byte was written. */
  readonly writtenAt: number;
  /** `Clock.now()` when this VM learnt that its replica leaves. */
  leftAt: number | undefined;
  readonly #onEnd: (request: UnansweredRequest, isAnswered: boolean) => void;

  constructor(
    written: WrittenRequest,
    writtenAt: number,
    onEnd: (request: UnansweredRequest, isAnswered: boolean) => void,
  ) {
    this.written = written;
    this.writtenAt = writtenAt;
    this.#onEnd = onEnd;
  }

  /** Records that the head of the replica's answer was received. */
  noteAnswered(): void {
    this.#onEnd(this, true);
  }

  /** Records that the attempt is over; has no effect on one that was answered. */
  end(): void {
    this.#onEnd(this, false);
  }
}

/** The requests of this VM that wait for the head of an answer. */
export class UnansweredRequests {
  readonly #options: UnansweredRequestsOptions;
  readonly #byReplica = new Map<VmId, Set<UnansweredRequest>>();

  constructor(options: UnansweredRequestsOptions) {
    this.#options = options;
  }

  static create(options: UnansweredRequestsOptions): UnansweredRequests {
    return new UnansweredRequests(options);
  }

  /** Records that the first byte of a request is about to be written. */
  add(written: WrittenRequest): UnansweredRequest {
    const { replica } = written;
    const requests = this.#byReplica.get(replica) ?? new Set();
    this.#byReplica.set(replica, requests);
    const request = new UnansweredRequest(
      written,
      this.#options.clock.now(),
      (each, isAnswered) => this.#remove(each, isAnswered),
    );
    requests.add(request);
    return request;
  }

  /** Notes which replicas have left, or begun to. */
  noteLeavings(hasLeft: (replica: VmId) => boolean): void {
    for (const [replica, requests] of this.#byReplica) {
      if (hasLeft(replica)) this.#noteLeft(requests);
    }
  }

  #noteLeft(requests: ReadonlySet<UnansweredRequest>): void {
    const { clock, log } = this.#options;
    const now = clock.now();
    for (const request of requests) {
      if (request.leftAt !== undefined) continue;
      request.leftAt = now;
      log.info("unanswered_at_leaving", buildFields(request, now));
    }
  }

  #remove(request: UnansweredRequest, isAnswered: boolean): void {
    const { replica } = request.written;
    const requests = this.#byReplica.get(replica);
    if (!requests?.delete(request)) return;
    if (requests.size === 0) this.#byReplica.delete(replica);
    if (request.leftAt === undefined) return;
    const { clock, log } = this.#options;
    const event = isAnswered ? "answered_after_leaving" : "ended_after_leaving";
    log.info(event, buildFields(request, clock.now()));
  }
}

function buildFields(
  { written, writtenAt, leftAt = Infinity }: UnansweredRequest,
  now: number,
): Record<string, string | number> {
  return {
    request_id: written.requestId,
    replica: written.replica,
    written_ms: Math.round(now - writtenAt),
    left_ms: Math.round(now - leftAt),
    list_revision: written.listRevision,
    list_age_ms: written.listAgeMs,
  };
}
