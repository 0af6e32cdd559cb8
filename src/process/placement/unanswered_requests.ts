/**
 * Requests that were written to a replica and have no answer yet.
 *
 * What was written may arrive late: a kernel sends again what a silent link has
 * lost. When a replica leaves, requests that it has read go on. It has read what
 * it was sent if it responds to a later call; if it does not for some time, its
 * requests are taken back, before they arrive at one that is about to end.
 *
 * @module
 */
import type { RequestId, VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log, LogFields } from "../log.ts";
import { buildListFields, type ListView } from "./last_sends.ts";
import type { ReplicaLiveness } from "./replica_liveness.ts";

/** A replica that works mostly shows it within this time, without being asked. */
const UNASKED_MS = 200;
/** A sound replica may send nothing for a second or so, and then go on. */
const MAX_SILENCE_MS = 1_000;
/** Pause after a call that failed. */
const RETRY_INTERVAL_MS = 100;

/** A request when it was written. */
export interface WrittenRequest {
  requestId: RequestId;
  replica: VmId;
  /** The list by which it was sent. */
  list: ListView;
  /** Called when it is taken back. */
  onWithdrawn: () => void;
}

/** Options of `UnansweredRequests`. */
export interface UnansweredRequestsOptions {
  clock: Clock;
  log: Log;
  liveness: ReplicaLiveness;
  /** Whether the replica answers a call that needs no slot; never rejects. */
  checkResponse: (replica: VmId) => Promise<boolean>;
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
  /** Leaving replicas of which it is not known whether they respond. */
  readonly #checked = new Set<VmId>();

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
      if (!hasLeft(replica)) continue;
      const noted = this.#noteLeft(requests);
      if (noted > 0) void this.#checkLeft(replica);
    }
  }

  /** Returns how many of the requests were not noted before. */
  #noteLeft(requests: ReadonlySet<UnansweredRequest>): number {
    const { clock, log } = this.#options;
    const now = clock.now();
    const unnoted = [...requests].filter(({ leftAt }) => leftAt === undefined);
    for (const request of unnoted) {
      request.leftAt = now;
      log.info("unanswered_at_leaving", buildFields(request, now));
    }
    return unnoted.length;
  }

  /** Takes the replica's requests back if it does not respond. */
  async #checkLeft(replica: VmId): Promise<void> {
    if (this.#checked.has(replica)) return;
    this.#checked.add(replica);
    const since = this.#options.clock.now();
    const hasResponded = await this.#waitForResponse(replica, since);
    this.#checked.delete(replica);
    if (!hasResponded) this.#withdrawAll(replica);
  }

  /** Resolves to whether the replica has responded since, or is not waited for. */
  async #waitForResponse(replica: VmId, since: number): Promise<boolean> {
    const { clock, liveness, checkResponse } = this.#options;
    await clock.sleep(UNASKED_MS);
    while (clock.now() - since < MAX_SILENCE_MS) {
      if (!this.#byReplica.has(replica)) return true;
      if (liveness.getActiveAt(replica) > since) return true;
      if (await checkResponse(replica)) return true;
      await clock.sleep(RETRY_INTERVAL_MS);
    }
    return false;
  }

  #withdrawAll(replica: VmId): void {
    const { clock, log } = this.#options;
    for (const request of this.#byReplica.get(replica) ?? []) {
      log.warn("request_withdrawn", buildFields(request, clock.now()));
      request.written.onWithdrawn();
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
): LogFields {
  return {
    request_id: written.requestId,
    replica: written.replica,
    written_ms: Math.round(now - writtenAt),
    left_ms: Math.round(now - leftAt),
    ...buildListFields(written.list),
  };
}
