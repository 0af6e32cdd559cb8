/**
 * The membership and configuration components of several VMs in one process and
 * in virtual time.
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

/** Fleet components of one VM. */
export interface FleetVm {
  listed: ListedVm;
  environment: Environment;
  membership: FleetMembership;
  follower: ConfigurationFollower;
  prober: Prober;
}

/** Options of a fleet. */
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
  #incarnations = 0;

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

  /** Creates `count` listed VMs spread over the data centres; starts none. */
  static create(options: FleetOptions): VirtualFleet {
    return new VirtualFleet(options);
  }

  /** Adds a new incarnation of a VM to the network without starting it. */
  addVm(listed: ListedVm, service = this.service): FleetVm {
    this.#incarnations += 1;
    const vm = listed.id;
    const clock = this.network.createClock(vm);
    const environment: Environment = {
      vm,
      incarnation: toId<Incarnation>(`${vm}-${this.#incarnations}`),
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
    const fleetVm = { listed, environment, membership, follower, prober };
    this.vms.set(vm, fleetVm);
    this.network.addVm(vm, new FleetPeer(fleetVm));
    return fleetVm;
  }

  startAll(): void {
    for (const vm of this.vms.values()) startVm(vm);
  }

  /** Stops a VM as if its process had been killed. */
  stopVm(vm: VmId): void {
    const stopped = this.vms.get(vm);
    if (stopped === undefined) return;
    this.network.removeVm(vm);
    stopped.follower.stop();
    stopped.prober.stop();
    stopped.membership.stop();
    this.vms.delete(vm);
  }

  /** Lists the active configuration version of each VM. */
  listVersions(): number[] {
    return this.list().map((vm) => vm.follower.getVersions().configVersion);
  }

  list(): FleetVm[] {
    return [...this.vms.values()];
  }

  /**
   * Runs until `isDone` and returns the virtual time taken; throws after
   * `maxMs`.
   */
  async runUntil(
    isDone: () => boolean,
    maxMs: number,
    stepMs = STEP_MS,
  ): Promise<number> {
    const startedAt = this.clock.now();
    while (!isDone()) {
      if (this.clock.now() - startedAt >= maxMs) {
        throw new Error(`Condition not met within ${maxMs} ms`);
      }
      await this.clock.run(stepMs);
    }
    return this.clock.now() - startedAt;
  }
}

/** Starts the background tasks of one VM. */
export function startVm(vm: FleetVm): void {
  vm.membership.start();
  vm.follower.start();
  vm.prober.start();
}

/** Creates `count` listed entry VMs named vm-0, vm-1 and so on. */
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

/** Serves only the calls of the fleet components; refuses all others. */
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
  override checkReach = refuseCall;
}

function refuseCall(): Promise<never> {
  return Promise.reject(new Error("This VM runs only the fleet components"));
}
