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
import type { Log } from "../log.ts";
import type { ReplicaLiveness } from "./replica_liveness.ts";

/** Options of `ResponseProbes`. */
export interface ResponseProbesOptions {
  log: Log;
  liveness: ReplicaLiveness;
  /** Resolves once the replica has answered a call that needs no slot. */
  fetchReport: (replica: VmId) => Promise<void>;
}

/** Probes replicas, each once at a time. */
export class ResponseProbes {
  readonly #options: ResponseProbesOptions;
  readonly #probed = new Set<VmId>();

  constructor(options: ResponseProbesOptions) {
    this.#options = options;
  }

  static create(options: ResponseProbesOptions): ResponseProbes {
    return new ResponseProbes(options);
  }

  /** Counts the replica as alive if it answers. Never rejects. */
  async probe(replica: VmId): Promise<void> {
    if (this.#probed.has(replica)) return;
    const { log, liveness, fetchReport } = this.#options;
    this.#probed.add(replica);
    try {
      await fetchReport(replica);
      liveness.note(replica);
    } catch (thrown) {
      const { message } = toError(thrown);
      log.info("replica_unresponsive", { replica, error: message });
    } finally {
      this.#probed.delete(replica);
    }
  }
}
