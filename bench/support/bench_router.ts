/**
 * The interface of a router under measurement.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";

/** A preemption of a running request. */
export interface Preemption {
  requestId: string;
  upstream: VmId;
  at: number;
}

/** The entry VMs of one router. */
export abstract class BenchRouter {
  /** Lists the VMs that callers can currently reach. */
  abstract listVms(): VmId[];
  /** Serves one request; never rejects. */
  abstract handle(
    vm: VmId,
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void>;
  /**
   * Ends a VM's process at once and returns its id; `undefined` selects the
   * model pool's owner.
   */
  abstract destroyVm(vm: VmId | undefined): VmId;
  abstract listPreemptions(): readonly Preemption[];
  /**
   * Starts the VMs and waits until they have discovered each other and their
   * upstreams.
   */
  abstract start(): Promise<void>;
  abstract close(): Promise<void>;
}
