/**
 * The naive router on every entry VM.
 *
 * @module
 */
import type { VmId } from "../../src/ids.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";
import { BenchRouter, type Preemption } from "../support/bench_router.ts";
import type { ExampleRecords } from "../support/example_records.ts";
import type {
  VirtualTransport,
  VirtualUpstreams,
} from "../support/virtual_upstreams.ts";
import { NaiveRouter } from "./naive_router.ts";

interface NaiveVm {
  router: NaiveRouter;
  transport: VirtualTransport;
  sinks: Set<CallerSink>;
}

/** Independent naive routers, one per entry VM. */
export class NaiveFleet extends BenchRouter {
  readonly #vms = new Map<VmId, NaiveVm>();

  constructor(examples: ExampleRecords, upstreams: VirtualUpstreams) {
    super();
    for (const { id, role } of examples.list.vms) {
      if (role !== "entry") continue;
      const transport = upstreams.createTransport();
      const router = NaiveRouter.create({
        vm: id,
        examples,
        upstreams: transport,
      });
      this.#vms.set(id, { router, transport, sinks: new Set() });
    }
  }

  static create(
    examples: ExampleRecords,
    upstreams: VirtualUpstreams,
  ): NaiveFleet {
    return new NaiveFleet(examples, upstreams);
  }

  override listVms(): VmId[] {
    return [...this.#vms.keys()];
  }

  override async handle(
    vm: VmId,
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    const { router, sinks } = this.#vms.get(vm)!;
    sinks.add(sink);
    await router.handle(request, sink);
    sinks.delete(sink);
  }

  override destroyVm(vm: VmId | undefined): VmId {
    const chosen = vm ?? this.listVms()[0]!;
    const { transport, sinks } = this.#vms.get(chosen)!;
    this.#vms.delete(chosen);
    for (const sink of sinks) sink.destroy();
    transport.close();
    return chosen;
  }

  override listPreemptions(): readonly Preemption[] {
    return [];
  }

  override start(): Promise<void> {
    return Promise.resolve();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}
