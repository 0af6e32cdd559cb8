/**
 * A router under measurement, whatever is inside.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";

/** A slot taken back while its request was running. */
export interface Preemption {
  requestId: string;
  upstream: VmId;
  at: number;
}

/** Several entry VMs of one router. */
export abstract class BenchRouter {
  /** VMs that callers can reach now. */
  abstract listVms(): VmId[];
  /** Answers one request; never rejects. */
  abstract handle(
    vm: VmId,
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void>;
  /** Ends a VM's process at once; `undefined` picks the model pool's owner. */
  abstract destroyVm(vm: VmId | undefined): VmId;
  abstract listPreemptions(): readonly Preemption[];
  /** Runs until the VMs know each other and their upstreams. */
  abstract start(): Promise<void>;
  abstract close(): Promise<void>;
}
