/**
 * This project's router on every entry VM, in one process and in virtual time.
 *
 * @module
 */
import { toId, type VmId } from "../../src/ids.ts";
import { ConfigurationSource } from "../../src/process/configuration_source.ts";
import type { Clock } from "../../src/process/clock.ts";
import { Log, type LogFields, type LogLevel } from "../../src/process/log.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { VmRuntime } from "../../src/process/runtime.ts";
import {
  buildShardId,
  buildShardKey,
  type SchedulerFeatures,
} from "../../src/process/scheduler/index.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import type { CallerSink } from "../../src/request/caller_sink.ts";
import type { ListedVm, RecordIndex } from "../../src/version/index.ts";
import type { VirtualClock } from "../../standin/virtual_clock.ts";
import { VirtualNetwork } from "../../standin/virtual_network.ts";
import { BenchRouter, type Preemption } from "./bench_router.ts";
import type { ExampleRecords } from "./example_records.ts";
import type {
  VirtualTransport,
  VirtualUpstreams,
} from "./virtual_upstreams.ts";

const GROUP = "all";
const VERSION = 1;
const WARM_UP_MS = 5_000;
const DELAY_MS = 0.5;

/** Options of a fleet. */
export interface RuntimeFleetOptions {
  clock: VirtualClock;
  seed: number;
  examples: ExampleRecords;
  upstreams: VirtualUpstreams;
  /** Scheduler features that differ from production. */
  features: Partial<SchedulerFeatures>;
}

interface FleetVm {
  runtime: VmRuntime;
  transport: VirtualTransport;
  sinks: Set<CallerSink>;
}

/** Runtimes connected only by the network and the configuration. */
export class RuntimeFleet extends BenchRouter {
  readonly network: VirtualNetwork;
  readonly #options: RuntimeFleetOptions;
  readonly #vms = new Map<VmId, FleetVm>();
  readonly #preemptions: Preemption[] = [];

  constructor(options: RuntimeFleetOptions) {
    super();
    this.#options = options;
    const { clock, seed, examples } = options;
    this.network = VirtualNetwork.create({
      clock,
      random: SeededRandom.create(seed),
      delayMs: DELAY_MS,
    });
    const entries = examples.list.vms.filter(({ role }) => role === "entry");
    entries.forEach((vm, index) => this.#addVm(vm, { index, entries }));
  }

  static create(options: RuntimeFleetOptions): RuntimeFleet {
    return new RuntimeFleet(options);
  }

  override listVms(): VmId[] {
    return [...this.#vms.keys()];
  }

  getRuntime(vm: VmId): VmRuntime {
    return this.#vms.get(vm)!.runtime;
  }

  override async handle(
    vm: VmId,
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    const { runtime, sinks } = this.#vms.get(vm)!;
    sinks.add(sink);
    await runtime.handle(request, sink);
    sinks.delete(sink);
  }

  override destroyVm(vm: VmId | undefined): VmId {
    const chosen = vm ?? this.#findModelOwner();
    const { runtime, transport, sinks } = this.#vms.get(chosen)!;
    this.#vms.delete(chosen);
    this.network.removeVm(chosen);
    runtime.stop();
    for (const sink of sinks) sink.destroy();
    transport.close();
    return chosen;
  }

  override listPreemptions(): readonly Preemption[] {
    return this.#preemptions;
  }

  override async start(): Promise<void> {
    for (const { runtime } of this.#vms.values()) runtime.start();
    await this.#options.clock.run(WARM_UP_MS);
  }

  override async close(): Promise<void> {
    for (const { runtime } of this.#vms.values()) runtime.stop();
    await this.#options.clock.run(0);
  }

  #findModelOwner(): VmId {
    const { snapshot } = this.#options.examples;
    const pool = [...snapshot.pools.values()]
      .find(({ type }) => type === "model")!;
    const [first] = this.#vms.values();
    const key = buildShardKey(buildShardId(pool.name, 0));
    return first!.runtime.membership.findOwner(key)!;
  }

  #addVm(
    self: ListedVm,
    { index, entries }: { index: number; entries: readonly ListedVm[] },
  ): void {
    const { seed, examples, upstreams, features } = this.#options;
    const transport = upstreams.createTransport();
    const clock = this.network.createClock(self.id);
    const runtime = VmRuntime.create({
      environment: {
        vm: self.id,
        incarnation: toId(`${self.id}-1`),
        dataCentre: self.dataCentre,
        clock,
        random: SeededRandom.create(seed * 1_000 + index),
        log: PreemptionLog.create(clock, this.#preemptions),
        peers: this.network.createDirectory(self.id),
        upstreams: transport,
      },
      self,
      source: FixedSource.create(clock, examples),
      seeds: entries.map(({ id }) => id),
      features,
    });
    this.#vms.set(self.id, { runtime, transport, sinks: new Set() });
    this.network.addVm(self.id, runtime.api);
  }
}

/** Records preemptions of running requests; drops all other events. */
class PreemptionLog extends Log {
  readonly #clock: Clock;
  readonly #preemptions: Preemption[];

  constructor(clock: Clock, preemptions: Preemption[]) {
    super();
    this.#clock = clock;
    this.#preemptions = preemptions;
  }

  static create(clock: Clock, preemptions: Preemption[]): PreemptionLog {
    return new PreemptionLog(clock, preemptions);
  }

  override write(_level: LogLevel, event: string, fields: LogFields): void {
    if (event !== "request_step" || fields["step"] !== "preempted") return;
    // A lease that expired before the send has a detail; its slot was not
    // preempted.
    if (fields["detail"] !== undefined) return;
    this.#preemptions.push({
      requestId: String(fields["request_id"]),
      upstream: toId(String(fields["peer"])),
      at: this.#clock.now(),
    });
  }
}

/** Serves one configuration and one membership list, which never change. */
class FixedSource extends ConfigurationSource {
  readonly #clock: Clock;
  readonly #examples: ExampleRecords;

  constructor(clock: Clock, examples: ExampleRecords) {
    super();
    this.#clock = clock;
    this.#examples = examples;
  }

  static create(clock: Clock, examples: ExampleRecords): FixedSource {
    return new FixedSource(clock, examples);
  }

  override async fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined> {
    if (after < VERSION) {
      return { version: VERSION, groups: new Map([[GROUP, VERSION]]) };
    }
    await this.#clock.sleep(waitMs, signal);
    return undefined;
  }

  override fetchGroup(): Promise<unknown[]> {
    return Promise.resolve(this.#examples.records);
  }

  override async fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined> {
    const { rawList } = this.#examples;
    if (after < rawList.revision) return rawList;
    await this.#clock.sleep(waitMs, signal);
    return undefined;
  }
}
