/**
 * Asks a silent replica whether it responds.
 *
 * A replica that preempts a stream sends nothing on it until there is room
 * again, which may take seconds. If it has no other stream of this VM, it looks
 * like one that hangs. Only what it answers now shows that it works.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type { ReplicaLiveness } from "./replica_liveness.ts";

/** A replica that works answers a call that needs no slot within this time. */
const ANSWER_TIMEOUT_MS = 400;

/** Options of `ResponseProbes`. */
export interface ResponseProbesOptions {
  clock: Clock;
  log: Log;
  liveness: ReplicaLiveness;
  /** Resolves once the replica has answered a call that needs no slot. */
  fetchReport: (replica: VmId, timeoutMs: number) => Promise<void>;
}

/** Probes replicas, each once at a time. */
export class ResponseProbes {
  readonly #options: ResponseProbesOptions;
  /** `Clock.now()` at the start of each probe that is not over. */
  readonly #startedAt = new Map<VmId, number>();
  /** `Clock.now()` at the start of each replica's last probe, if it failed. */
  readonly #failedAt = new Map<VmId, number>();

  constructor(options: ResponseProbesOptions) {
    this.#options = options;
  }

  static create(options: ResponseProbesOptions): ResponseProbes {
    return new ResponseProbes(options);
  }

  /**
   * Asks a replica that has been silent since `silentSince` (`Clock.now()`), once
   * in that time. Returns the milliseconds until its answer is due; 0 if it has
   * given none.
   */
  ask(replica: VmId, silentSince: number): number {
    const failedAt = this.#failedAt.get(replica) ?? -Infinity;
    if (failedAt >= silentSince) return 0;
    const { clock } = this.#options;
    const startedAt = this.#startedAt.get(replica) ?? clock.now();
    void this.#probe(replica);
    return Math.max(0, startedAt + ANSWER_TIMEOUT_MS - clock.now());
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#failedAt.keys()) {
      if (!isListed(replica)) this.#failedAt.delete(replica);
    }
  }

  /** Counts the replica as alive if it answers. Never rejects. */
  async #probe(replica: VmId): Promise<void> {
    if (this.#startedAt.has(replica)) return;
    const { clock, log, liveness, fetchReport } = this.#options;
    const startedAt = clock.now();
    this.#startedAt.set(replica, startedAt);
    try {
      await fetchReport(replica, ANSWER_TIMEOUT_MS);
      liveness.note(replica);
      this.#failedAt.delete(replica);
    } catch (thrown) {
      this.#failedAt.set(replica, startedAt);
      const { message } = toError(thrown);
      log.info("replica_unresponsive", { replica, error: message });
    } finally {
      this.#startedAt.delete(replica);
    }
  }
}
