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

/** A probe that is not over. */
interface RunningProbe {
  /** `Clock.now()` at its start. */
  startedAt: number;
  hasAnswered: Promise<boolean>;
}

/** Probes replicas, each once at a time. */
export class ResponseProbes {
  readonly #options: ResponseProbesOptions;
  readonly #running = new Map<VmId, RunningProbe>();
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
    const { startedAt } = this.#start(replica);
    return Math.max(0, startedAt + ANSWER_TIMEOUT_MS - clock.now());
  }

  /** Whether the replica answers a probe now. */
  check(replica: VmId): Promise<boolean> {
    return this.#start(replica).hasAnswered;
  }

  /** Forgets replicas that are no longer listed. */
  dropUnlisted(isListed: (replica: VmId) => boolean): void {
    for (const replica of this.#failedAt.keys()) {
      if (!isListed(replica)) this.#failedAt.delete(replica);
    }
  }

  /** The replica's running probe, or a new one. */
  #start(replica: VmId): RunningProbe {
    const running = this.#running.get(replica);
    if (running !== undefined) return running;
    const startedAt = this.#options.clock.now();
    const hasAnswered = this.#probe(replica, startedAt);
    const probe = { startedAt, hasAnswered };
    this.#running.set(replica, probe);
    void hasAnswered.then(() => this.#running.delete(replica));
    return probe;
  }

  /** Counts the replica as alive if it answers. Never rejects. */
  async #probe(replica: VmId, startedAt: number): Promise<boolean> {
    const { log, liveness, fetchReport } = this.#options;
    try {
      await fetchReport(replica, ANSWER_TIMEOUT_MS);
      liveness.note(replica);
      this.#failedAt.delete(replica);
      return true;
    } catch (thrown) {
      this.#failedAt.set(replica, startedAt);
      const { message } = toError(thrown);
      log.info("replica_unresponsive", { replica, error: message });
      return false;
    }
  }
}
