/**
 * Several VMs' fleet parts in one process, in virtual time.
 *
 * @module
 */
import { toId } from "../src/ids.ts";
import type { DataCentre, Incarnation, VmId } from "../src/ids.ts";
import { ConfigurationFollower } from "../src/process/configuration_follower.ts";
import type { Environment } from "../src/process/environment.ts";
import { FleetMembership } from "../src/process/fleet_membership.ts";
import { type Log, SilentLog } from "../src/process/log.ts";
import { PeerApi } from "../src/process/peer_api.ts";
import type {
  ProbeAnswer,
  ProbeCall,
  SnapshotAnswer,
  SnapshotCall,
} from "../src/process/peer_api.ts";
import { Prober } from "../src/process/prober.ts";
import { SeededRandom } from "../src/process/random.ts";
import type { ListedVm } from "../src/version/index.ts";
import { VirtualClock } from "./virtual_clock.ts";
import { VirtualNetwork } from "./virtual_network.ts";
import { VirtualService } from "./virtual_service.ts";

const STEP_MS = 10;

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
export class VirtualFleet {
  readonly clock = VirtualClock.create();
  readonly network: VirtualNetwork;
  readonly service: VirtualService;
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
    this.service = new VirtualService(this.clock);
    const listed = createListedVms(options.count, options.dataCentres ?? 4);
    this.#seeds = listed.map((vm) => vm.id);
    this.service.putList(1, listed);
    for (const vm of listed) this.addVm(vm);
  }

  /** `count` VMs over some data centres, all listed, none started. */
  static create(options: FleetOptions): VirtualFleet {
    return new VirtualFleet(options);
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
    this.network.addVm(vm, new FleetPeer(one));
    return one;
  }

  startAll(): void {
    for (const vm of this.vms.values()) startVm(vm);
  }

  /** Kills a VM's process. */
  stopVm(vm: VmId): void {
    const one = this.vms.get(vm);
    if (one === undefined) return;
    this.network.removeVm(vm);
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
  async runUntil(
    isDone: () => boolean,
    maxMs: number,
    stepMs = STEP_MS,
  ): Promise<number> {
    const startedAt = this.clock.now();
    while (!isDone()) {
      if (this.clock.now() - startedAt >= maxMs) {
        throw new Error(`Not done within ${maxMs} ms`);
      }
      await this.clock.run(stepMs);
    }
    return this.clock.now() - startedAt;
  }
}

/** Starts the tasks of one VM. */
export function startVm(vm: FleetVm): void {
  vm.membership.start();
  vm.follower.start();
  vm.prober.start();
}

/** `count` listed entry VMs, named vm-0 and so on. */
export function createListedVms(
  count: number,
  dataCentres: number,
): ListedVm[] {
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
  override noteSuspects = refuseCall;
}

function refuseCall(): Promise<never> {
  return Promise.reject(new Error("This VM has only the fleet's parts"));
}
