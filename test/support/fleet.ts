/**
 * Several VMs' fleet parts in one process, in virtual time.
 *
 * @module
 */
import { toId } from "../../src/ids.ts";
import type { DataCentre, Incarnation, VmId } from "../../src/ids.ts";
import type { Clock } from "../../src/process/clock.ts";
import { ConfigurationFollower } from "../../src/process/configuration_follower.ts";
import { ConfigurationSource } from "../../src/process/configuration_source.ts";
import type { Environment } from "../../src/process/environment.ts";
import { FleetMembership } from "../../src/process/fleet_membership.ts";
import { type Log, SilentLog } from "../../src/process/log.ts";
import { PeerApi } from "../../src/process/peer_api.ts";
import type {
  ProbeAnswer,
  ProbeCall,
  SnapshotAnswer,
  SnapshotCall,
} from "../../src/process/peer_api.ts";
import { Prober } from "../../src/process/prober.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { buildRecordGroups } from "../../src/version/index.ts";
import type { ListedVm, RecordIndex } from "../../src/version/index.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";
import { VirtualNetwork } from "../../standin/virtual_network.ts";

const READ_DELAY_MS = 3;

/** What one configuration service has; several VMs may read it. */
export class FakeService {
  readonly #clock: Clock;
  readonly #groups = new Map<string, unknown[]>();
  #index: RecordIndex | undefined;
  #list: { revision: number; vms: unknown[] } | undefined;
  #waiters = new Set<() => void>();
  /** Calls so far; a waiting watch is one. */
  calls = 0;
  groupCalls = 0;
  isDown = false;
  /** VMs that the service answers; all when undefined. */
  reachableBy: Set<VmId> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Publishes `records` as `version`, even below the one before. */
  putVersion(version: number, records: unknown[]): void {
    const groups = new Map<string, number>();
    for (const { name, records: part } of buildRecordGroups(records)) {
      const before = this.#findGroup(name);
      const isSame = before !== undefined &&
        JSON.stringify(this.#groups.get(before)) === JSON.stringify(part);
      const groupVersion = isSame ? this.#index!.groups.get(name)! : version;
      this.#groups.set(`${name}/${groupVersion}`, part);
      groups.set(name, groupVersion);
    }
    this.#index = { version, groups };
    this.#resumeWaiters();
  }

  putList(revision: number, vms: readonly ListedVm[]): void {
    this.#list = { revision, vms: vms.map(toPublished) };
    this.#resumeWaiters();
  }

  /** The service as `vm` reaches it. */
  createSource(vm: VmId, clock: Clock): ConfigurationSource {
    return new FakeSource({ service: this, vm, clock });
  }

  async read<T>(
    reader: { vm: VmId; clock: Clock },
    find: () => T | undefined,
    options: { waitMs: number; signal?: AbortSignal },
  ): Promise<T | undefined> {
    this.calls += 1;
    const endsAt = this.#clock.now() + options.waitMs;
    await reader.clock.sleep(READ_DELAY_MS, options.signal);
    while (true) {
      this.#checkUp(reader.vm);
      const value = find();
      if (value !== undefined) return structuredClone(value);
      const leftMs = endsAt - this.#clock.now();
      if (leftMs <= 0 || options.signal?.aborted) return undefined;
      await this.#waitForChange(leftMs, reader.clock);
    }
  }

  findIndex(after: number): RecordIndex | undefined {
    return this.#index && this.#index.version > after ? this.#index : undefined;
  }

  findRecords(name: string, version: number): unknown[] | undefined {
    this.groupCalls += 1;
    return this.#groups.get(`${name}/${version}`);
  }

  findList(after: number): unknown | undefined {
    return this.#list && this.#list.revision > after ? this.#list : undefined;
  }

  #findGroup(name: string): string | undefined {
    const version = this.#index?.groups.get(name);
    return version === undefined ? undefined : `${name}/${version}`;
  }

  #checkUp(vm: VmId): void {
    const isReachable = this.reachableBy?.has(vm) ?? true;
    if (this.isDown || !isReachable) throw new Error("The service is down");
  }

  #resumeWaiters(): void {
    const waiters = [...this.#waiters];
    this.#waiters.clear();
    for (const wake of waiters) wake();
  }

  async #waitForChange(ms: number, clock: Clock): Promise<void> {
    const controller = new AbortController();
    const wake = () => controller.abort();
    this.#waiters.add(wake);
    await clock.sleep(ms, controller.signal);
    this.#waiters.delete(wake);
  }
}

class FakeSource extends ConfigurationSource {
  readonly #service: FakeService;
  readonly #reader: { vm: VmId; clock: Clock };

  constructor(options: { service: FakeService; vm: VmId; clock: Clock }) {
    super();
    this.#service = options.service;
    this.#reader = options;
  }

  fetchIndex(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<RecordIndex | undefined> {
    const find = () => this.#service.findIndex(after);
    return this.#service.read(this.#reader, find, { waitMs, signal });
  }

  async fetchGroup(name: string, version: number): Promise<unknown[]> {
    const find = () => this.#service.findRecords(name, version);
    const records = await this.#service.read(this.#reader, find, { waitMs: 0 });
    if (records === undefined) throw new Error(`No group ${name}/${version}`);
    return records;
  }

  fetchMembership(
    after: number,
    waitMs: number,
    signal: AbortSignal,
  ): Promise<unknown | undefined> {
    const find = () => this.#service.findList(after);
    return this.#service.read(this.#reader, find, { waitMs, signal });
  }
}

/** One VM's fleet parts. */
export interface FleetVm {
  listed: ListedVm;
  environment: Environment;
  membership: FleetMembership;
  follower: ConfigurationFollower;
  prober: Prober;
}

/** How a fleet is made. */
export interface FleetOptions {
  count: number;
  dataCentres?: number;
  seed?: number;
  log?: Log;
}

/** VMs on one virtual network, with one configuration service. */
export class Fleet {
  readonly clock = VirtualClock.create();
  readonly network: VirtualNetwork;
  readonly service: FakeService;
  readonly vms = new Map<VmId, FleetVm>();
  readonly #random: SeededRandom;
  readonly #log: Log;
  readonly #seeds: VmId[];
  #lives = 0;

  constructor(options: FleetOptions) {
    this.#random = SeededRandom.create(options.seed ?? 1);
    this.#log = options.log ?? SilentLog.create();
    this.network = VirtualNetwork.create({
      clock: this.clock,
      random: SeededRandom.create((options.seed ?? 1) + 1),
    });
    this.service = new FakeService(this.clock);
    const listed = createListed(options.count, options.dataCentres ?? 4);
    this.#seeds = listed.map((vm) => vm.id);
    this.service.putList(1, listed);
    for (const vm of listed) this.addVm(vm);
  }

  /** `count` VMs over some data centres, all listed, none started. */
  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** Puts one more life of a VM on the network, not started. */
  addVm(listed: ListedVm, service = this.service): FleetVm {
    this.#lives += 1;
    const vm = listed.id;
    const clock = this.network.createClock(vm);
    const environment: Environment = {
      vm,
      incarnation: toId<Incarnation>(`${vm}-${this.#lives}`),
      dataCentre: listed.dataCentre,
      clock,
      random: SeededRandom.create(this.#random.nextInt(2 ** 31)),
      log: this.#log,
      peers: this.network.createDirectory(vm),
      upstreams: undefined as never,
    };
    const membership = FleetMembership.create({ environment, self: listed });
    const follower = ConfigurationFollower.create({
      environment,
      source: service.createSource(vm, clock),
      membership,
      seeds: this.#seeds,
    });
    const prober = Prober.create({
      environment,
      membership,
      versions: follower,
    });
    const one = { listed, environment, membership, follower, prober };
    this.vms.set(vm, one);
    this.network.register(vm, new FleetPeer(one));
    return one;
  }

  startAll(): void {
    for (const vm of this.vms.values()) startVm(vm);
  }

  /** Kills a VM's process. */
  stopVm(vm: VmId): void {
    const one = this.vms.get(vm);
    if (one === undefined) return;
    this.network.unregister(vm);
    one.follower.stop();
    one.prober.stop();
    one.membership.stop();
    this.vms.delete(vm);
  }

  /** The versions in force, one for each VM. */
  listVersions(): number[] {
    return this.list().map((vm) => vm.follower.getVersions().configVersion);
  }

  list(): FleetVm[] {
    return [...this.vms.values()];
  }

  /** Runs until `isDone`, and gives the time taken; fails after `maxMs`. */
  async runUntil(isDone: () => boolean, maxMs: number): Promise<number> {
    const startedAt = this.clock.now();
    while (!isDone()) {
      if (this.clock.now() - startedAt >= maxMs) {
        throw new Error(`Not done within ${maxMs} ms`);
      }
      await this.clock.run(10);
    }
    return this.clock.now() - startedAt;
  }
}

export function startVm(vm: FleetVm): void {
  vm.membership.start();
  vm.follower.start();
  vm.prober.start();
}

/** `count` listed entry VMs, named vm-0 and so on. */
export function createListed(count: number, dataCentres: number): ListedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    id: toId<VmId>(`vm-${index}`),
    role: "entry",
    state: "live",
    dataCentre: toId<DataCentre>(`dc-${index % dataCentres}`),
    address: `10.0.${index >> 8}.${index & 255}`,
    port: 8080,
    peerPort: 9090,
    pool: undefined,
  }));
}

function toPublished(vm: ListedVm): unknown {
  return {
    id: vm.id,
    role: vm.role,
    state: vm.state,
    data_centre: vm.dataCentre,
    address: vm.address,
    port: vm.port,
    peer_port: vm.peerPort,
    pool: vm.pool,
  };
}

/** Answers what the fleet's parts answer; a test of these needs no more. */
class FleetPeer extends PeerApi {
  readonly #vm: FleetVm;

  constructor(vm: FleetVm) {
    super();
    this.#vm = vm;
  }

  override async probe(call: ProbeCall): Promise<ProbeAnswer> {
    return await this.#vm.prober.answerProbe(call);
  }

  override probeVia(target: VmId, call: ProbeCall): Promise<boolean> {
    return this.#vm.prober.answerProbeVia(target, call);
  }

  override async fetchSnapshot(call: SnapshotCall): Promise<SnapshotAnswer> {
    return await this.#vm.follower.answerSnapshot(call);
  }

  override acquire = refuseCall;
  override syncLeases = refuseCall;
  override leaseLimit = refuseCall;
  override claimRun = refuseCall;
  override settleRun = refuseCall;
  override findFate = refuseCall;
  override handOver = refuseCall;
  override collectStats = refuseCall;
}

function refuseCall(): Promise<never> {
  return Promise.reject(new Error("This VM has only the fleet's parts"));
}
