/**
 * A small fleet in virtual time that commands act upon, with a record of all
 * that callers and upstreams saw.
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
import { QueueWitness } from "./queue_witness.ts";
import { VmLife } from "./vm_life.ts";

const WARM_UP_MS = 4_000;
const STEP_MS = 500;
const PEER_TIMEOUT_MS = 1_000;

/** What a world is made with. */
export interface WorldOptions {
  user: User;
  seed: number;
  /** Entry VMs. */
  vms: number;
  log?: Log;
}

/** One submission of a request at one VM. */
export interface Submission {
  request: FuzzRequest;
  life: VmLife;
  sink: FuzzSink;
  submittedAt: number;
  /** When the VM began to handle it; undefined while it was paused. */
  handledAt: number | undefined;
  /** The version in force at the VM then. */
  version: number | undefined;
  isHandled: boolean;
  /** Versions under which the request may have been admitted. */
  versions: () => number[];
}

/** The fleet, its upstreams, its platform and its callers. */
export class FuzzWorld {
  readonly user: User;
  // Its least timer: a rest below the rounding of the time would be waited for
  // again and again at one moment, and the run would never end.
  readonly clock = BenchClock.create();
  readonly network: VirtualNetwork;
  readonly service: VirtualService;
  readonly upstreams: FuzzUpstreams;
  readonly witness: QueueWitness;
  readonly disturbances: Disturbances;
  readonly random: SeededRandom;
  /** Every life, the ended ones too. */
  readonly lives: VmLife[] = [];
  readonly submissions: Submission[] = [];
  /** Published versions, and whether they are valid. */
  readonly versions = new Map<number, boolean>();
  /** Since when each upstream that leaves can be known to. */
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
    this.witness = QueueWitness.create(this.clock);
    this.#log = WitnessedLog.create(options, this.witness);
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

  /** A fleet that is up and knows its first configuration. */
  static async create(options: WorldOptions): Promise<FuzzWorld> {
    const world = new FuzzWorld(options);
    for (const vm of world.listEntries()) world.startLife(vm);
    await world.run(WARM_UP_MS);
    return world;
  }

  listEntries(): ListedVm[] {
    return this.list.vms.filter(({ role }) => role === "entry");
  }

  /** The lives that have not ended. */
  listLives(): VmLife[] {
    return this.lives.filter((life) => !life.isDead);
  }

  findLife(vm: VmId): VmLife | undefined {
    return this.listLives().find((life) => life.vm === vm);
  }

  /** Lets time pass, and takes down what the VMs have in force. */
  async run(ms: number): Promise<void> {
    for (let left = ms; left > 0; left -= STEP_MS) {
      await this.clock.run(Math.min(left, STEP_MS));
      this.noteState();
    }
  }

  noteState(): void {
    for (const life of this.listLives()) life.noteVersion();
    this.witness.checkWaits(this.disturbances);
  }

  startLife(self: ListedVm): VmLife {
    const life = VmLife.create({
      self,
      number: this.lives.length + 1,
      seed: this.random.nextInt(2 ** 31),
      network: this.network,
      upstreams: this.upstreams,
      seeds: this.listEntries().map(({ id }) => id),
      buildSource: (clock) => this.service.createSource(self.id, clock),
      log: this.#log,
    });
    this.witness.watch(life);
    this.lives.push(life);
    life.runtime.start();
    return life;
  }

  /** Publishes a version, a new one or one that was published before. */
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

  /** Makes a request that no other is like. */
  buildRequest(shape: RequestShape): FuzzRequest {
    const tag = ++this.#tags;
    return buildRequest(this.user, shape, { tag, takenId: undefined });
  }

  /** Submits a request at a VM, the first time or again. */
  send(
    life: VmLife,
    request: FuzzRequest,
    options: { writeMs?: number } = {},
  ): Submission {
    const sink = FuzzSink.create(life.clock, options.writeMs);
    const submission: Submission = {
      request,
      life,
      sink,
      submittedAt: this.clock.now(),
      handledAt: undefined,
      version: undefined,
      isHandled: false,
      versions: () => this.#listVersions(request),
    };
    this.submissions.push(submission);
    life.sinks.add(sink);
    life.clock.startTimer(0, () => void this.#handle(submission));
    return submission;
  }

  /** Asks a VM something that is answered in JSON. */
  ask(
    life: VmLife,
    call: { method: string; path: string; workspace: string },
  ): FuzzSink {
    const sink = FuzzSink.create(life.clock);
    const request = buildPlainCall(call.method, call.path, call.workspace);
    void life.runtime.handle(request, sink);
    return sink;
  }

  close(): void {
    for (const life of this.listLives()) life.destroy();
  }

  #listVersions(request: FuzzRequest): number[] {
    const versions = this.submissions
      .filter((one) => one.request === request)
      .flatMap(({ version }) => version ?? []);
    return [...new Set(versions)];
  }

  async #handle(submission: Submission): Promise<void> {
    const { life, sink, request } = submission;
    if (!sink.isOpen) {
      life.sinks.delete(sink);
      return;
    }
    submission.handledAt = this.clock.now();
    submission.version = life.runtime.getSnapshot()?.version ?? 0;
    const call = buildCall(request, life.clock.now());
    await life.runtime.handle(call, sink);
    submission.isHandled = true;
    life.sinks.delete(sink);
  }
}

/** Passes every line on, and preemptions to the witness. */
class WitnessedLog extends Log {
  readonly #options: WorldOptions;
  readonly #witness: QueueWitness;
  readonly #log: Log;

  constructor(options: WorldOptions, witness: QueueWitness) {
    super();
    this.#options = options;
    this.#witness = witness;
    this.#log = options.log ?? SilentLog.create();
  }

  static create(options: WorldOptions, witness: QueueWitness): WitnessedLog {
    return new WitnessedLog(options, witness);
  }

  override write(level: LogLevel, event: string, fields: LogFields): void {
    this.#log.write(level, event, fields);
    if (event !== "lease_preempted") return;
    this.#witness.notePreemption(this.#options.user, fields);
  }
}
