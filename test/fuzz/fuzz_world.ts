/**
 * A small fleet in virtual time that commands act on, with a record of what
 * callers and upstreams observed.
 *
 * @module
 */
import { BenchClock } from "../../bench/support/bench_clock.ts";
import type { User } from "../../bench/support/example_records.ts";
import type { VmId } from "../../src/ids.ts";
import {
  Log,
  type LogFields,
  type LogLevel,
  SilentLog,
} from "../../src/process/log.ts";
import { SeededRandom } from "../../src/process/random.ts";
import type { ListedVm, MembershipList } from "../../src/version/index.ts";
import { VirtualNetwork } from "../../standin/virtual_network.ts";
import { VirtualService } from "../../standin/virtual_service.ts";
import { Disturbances } from "./disturbances.ts";
import {
  buildFuzzList,
  buildFuzzRecords,
  buildInvalidRecords,
} from "./fuzz_records.ts";
import {
  buildCall,
  buildPlainCall,
  buildRequest,
  type FuzzRequest,
  type RequestShape,
} from "./fuzz_request.ts";
import { FuzzSink } from "./fuzz_sink.ts";
import { FuzzUpstreams } from "./fuzz_upstreams.ts";
import { QueueObserver } from "./queue_observer.ts";
import { FuzzVm } from "./fuzz_vm.ts";

const WARM_UP_MS = 4_000;
const STEP_MS = 500;
const PEER_TIMEOUT_MS = 1_000;

/** Options of a world. */
export interface WorldOptions {
  user: User;
  seed: number;
  /** Number of entry VMs. */
  vms: number;
  log?: Log;
}

/** One submission of a request at one VM. */
export interface Submission {
  request: FuzzRequest;
  vm: FuzzVm;
  sink: FuzzSink;
  submittedAt: number;
  /** When the VM began to handle it; undefined while it was paused. */
  handledAt: number | undefined;
  /** The version in force at the VM at that time. */
  version: number | undefined;
  isHandled: boolean;
  /** Versions under which the request may have been admitted. */
  versions: () => number[];
}

/** The fleet, its upstreams, its platform and its callers. */
export class FuzzWorld {
  readonly user: User;
  // This clock has a minimum timer: a delay below the rounding of the time
  // would be scheduled repeatedly at one moment, and the run would never end.
  readonly clock = BenchClock.create();
  readonly network: VirtualNetwork;
  readonly service: VirtualService;
  readonly upstreams: FuzzUpstreams;
  readonly queueObserver: QueueObserver;
  readonly disturbances: Disturbances;
  readonly random: SeededRandom;
  /** Every incarnation of an entry VM, including ended ones. */
  readonly vms: FuzzVm[] = [];
  readonly submissions: Submission[] = [];
  /** Published versions, and whether they are valid. */
  readonly versions = new Map<number, boolean>();
  /** Since when VMs can know of each leaving upstream. */
  readonly leavingSince = new Map<VmId, number>();
  list: MembershipList;
  readonly #log: Log;
  #tags = 0;

  constructor(options: WorldOptions) {
    this.user = options.user;
    this.random = SeededRandom.create(options.seed);
    this.network = VirtualNetwork.create({
      clock: this.clock,
      random: SeededRandom.create(this.random.nextInt(2 ** 31)),
      timeoutMs: PEER_TIMEOUT_MS,
    });
    this.service = new VirtualService(this.clock);
    this.disturbances = Disturbances.create(this.clock);
    this.queueObserver = QueueObserver.create(this.clock);
    this.#log = ObservedLog.create(options, this.queueObserver);
    this.list = buildFuzzList(options.user, options.vms);
    this.upstreams = new FuzzUpstreams({
      clock: this.clock,
      random: SeededRandom.create(this.random.nextInt(2 ** 31)),
      user: options.user,
      list: this.list,
    });
    this.service.putList(this.list.revision, this.list.vms);
    this.putVersion(1);
  }

  /** Creates a running fleet that has applied its first configuration. */
  static async create(options: WorldOptions): Promise<FuzzWorld> {
    const world = new FuzzWorld(options);
    for (const vm of world.listEntries()) world.startVm(vm);
    await world.run(WARM_UP_MS);
    return world;
  }

  listEntries(): ListedVm[] {
    return this.list.vms.filter(({ role }) => role === "entry");
  }

  /** Lists the incarnations that have not ended. */
  listLiveVms(): FuzzVm[] {
    return this.vms.filter((vm) => !vm.isDead);
  }

  findVm(id: VmId): FuzzVm | undefined {
    return this.listLiveVms().find((vm) => vm.id === id);
  }

  /** Advances the time and records the versions in force at the VMs. */
  async run(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await this.clock.run(Math.min(left, STEP_MS));
      this.noteState();
    }
  }

  noteState(): void {
    for (const vm of this.listLiveVms()) vm.noteVersion();
    this.queueObserver.checkWaits(this.disturbances);
  }

  startVm(self: ListedVm): FuzzVm {
    const vm = FuzzVm.create({
      self,
      number: this.vms.length + 1,
      seed: this.random.nextInt(2 ** 31),
      network: this.network,
      upstreams: this.upstreams,
      seeds: this.listEntries().map(({ id }) => id),
      buildSource: (clock) => this.service.createSource(self.id, clock),
      log: this.#log,
    });
    this.queueObserver.watch(vm);
    this.vms.push(vm);
    vm.runtime.start();
    return vm;
  }

  /** Publishes a new version, or one that was published before. */
  putVersion(version: number, isValid = true): void {
    const known = this.versions.get(version) ?? isValid;
    this.versions.set(version, known);
    const records = known
      ? buildFuzzRecords(this.user, version)
      : buildInvalidRecords(this.user, version);
    this.service.putVersion(version, records);
  }

  /** Publishes the list under the next revision. */
  putList(vms: readonly ListedVm[]): void {
    this.list = { revision: this.list.revision + 1, vms };
    this.service.putList(this.list.revision, vms);
  }

  /** Builds a request with a unique tag. */
  buildRequest(shape: RequestShape): FuzzRequest {
    const tag = ++this.#tags;
    return buildRequest(this.user, shape, { tag, issuedId: undefined });
  }

  /** Submits or resubmits a request to a VM. */
  send(
    vm: FuzzVm,
    request: FuzzRequest,
    options: { writeMs?: number } = {},
  ): Submission {
    const sink = FuzzSink.create(vm.clock, options.writeMs);
    const submission: Submission = {
      request,
      vm,
      sink,
      submittedAt: this.clock.now(),
      handledAt: undefined,
      version: undefined,
      isHandled: false,
      versions: () => this.#listVersions(request),
    };
    this.submissions.push(submission);
    vm.sinks.add(sink);
    vm.clock.startTimer(0, () => void this.#handle(submission));
    return submission;
  }

  /** Sends a VM a query that it answers in JSON. */
  sendQuery(
    vm: FuzzVm,
    call: { method: string; path: string; workspace: string },
  ): FuzzSink {
    const sink = FuzzSink.create(vm.clock);
    const request = buildPlainCall(call.method, call.path, call.workspace);
    void vm.runtime.handle(request, sink);
    return sink;
  }

  close(): void {
    for (const vm of this.listLiveVms()) vm.destroy();
  }

  #listVersions(request: FuzzRequest): number[] {
    const versions = this.submissions
      .filter((one) => one.request === request)
      .flatMap(({ version }) => version ?? []);
    return [...new Set(versions)];
  }

  async #handle(submission: Submission): Promise<void> {
    const { vm, sink, request } = submission;
    if (!sink.isOpen) {
      vm.sinks.delete(sink);
      return;
    }
    submission.handledAt = this.clock.now();
    submission.version = vm.runtime.getSnapshot()?.version ?? 0;
    const call = buildCall(request, vm.clock.now());
    await vm.runtime.handle(call, sink);
    submission.isHandled = true;
    vm.sinks.delete(sink);
  }
}

/** Forwards every line to a log, and preemptions to the observer. */
class ObservedLog extends Log {
  readonly #options: WorldOptions;
  readonly #queueObserver: QueueObserver;
  readonly #log: Log;

  constructor(options: WorldOptions, queueObserver: QueueObserver) {
    super();
    this.#options = options;
    this.#queueObserver = queueObserver;
    this.#log = options.log ?? SilentLog.create();
  }

  static create(
    options: WorldOptions,
    queueObserver: QueueObserver,
  ): ObservedLog {
    return new ObservedLog(options, queueObserver);
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.#log.write(level, event, fields);
    if (event !== "lease_preempted") return;
    this.#queueObserver.notePreemption(this.#options.user, fields);
  }
}
