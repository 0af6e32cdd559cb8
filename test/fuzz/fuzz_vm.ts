/**
 * One incarnation of an entry VM. After its end it sends nothing and runs no
 * code.
 *
 * @module
 */
import { type Incarnation, toId, type VmId } from "../../src/ids.ts";
import { type CancelTimer, Clock } from "../../src/process/clock.ts";
import type { ConfigurationSource } from "../../src/process/configuration_source.ts";
import type { Log } from "../../src/process/log.ts";
import { type PeerApi, PeerDirectory } from "../../src/process/peer_api.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { LEASE_TTL_MS } from "../../src/process/scheduler/lease_manager.ts";
import { VmRuntime } from "../../src/process/runtime.ts";
import type { ListedVm } from "../../src/version/index.ts";
import type { VirtualNetwork } from "../../standin/virtual_network.ts";
import type { FuzzSink } from "./fuzz_sink.ts";
import type { FuzzTransport, FuzzUpstreams } from "./fuzz_upstreams.ts";

/** Small, so that bursts cause shedding. */
const QUEUE_BOUND = 3;

/** Options of an incarnation. */
export interface FuzzVmOptions {
  self: ListedVm;
  number: number;
  seed: number;
  network: VirtualNetwork;
  upstreams: FuzzUpstreams;
  seeds: readonly VmId[];
  buildSource: (clock: Clock) => ConfigurationSource;
  log: Log;
}

/** A process of an entry VM, from its start to its end. */
export class FuzzVm {
  readonly self: ListedVm;
  readonly incarnation: Incarnation;
  readonly clock: FuzzVmClock;
  readonly runtime: VmRuntime;
  readonly transport: FuzzTransport;
  readonly sinks = new Set<FuzzSink>();
  /** The versions that the VM applied, in order. */
  readonly versions: number[] = [];
  #pausedAt: number | undefined;
  #resumedAt = -1;
  #pausedMs = 0;
  #isDead = false;
  readonly #network: VirtualNetwork;

  constructor(options: FuzzVmOptions) {
    const { self, network, upstreams, seeds, log } = options;
    const isDead = () => this.#isDead;
    this.self = self;
    this.incarnation = toId(`i${options.number}`);
    this.#network = network;
    this.clock = FuzzVmClock.create(network.createClock(self.id), isDead);
    this.transport = upstreams.createTransport(this);
    this.runtime = VmRuntime.create({
      environment: {
        vm: self.id,
        incarnation: this.incarnation,
        dataCentre: self.dataCentre,
        clock: this.clock,
        random: SeededRandom.create(options.seed),
        log,
        peers: new FuzzVmPeers(network.createDirectory(self.id), isDead),
        upstreams: this.transport,
      },
      self,
      source: options.buildSource(this.clock),
      seeds,
      queueBound: QUEUE_BOUND,
    });
    network.addVm(self.id, stopAfterEnd(this.runtime.api, isDead));
  }

  static create(options: FuzzVmOptions): FuzzVm {
    return new FuzzVm(options);
  }

  get id(): VmId {
    return this.self.id;
  }

  get isDead(): boolean {
    return this.#isDead;
  }

  get isPaused(): boolean {
    return this.#pausedAt !== undefined;
  }

  /** Whether the process resumes at this moment after all leases expired. */
  get hasLostLeases(): boolean {
    return this.#resumedAt === this.clock.now() &&
      this.#pausedMs > LEASE_TTL_MS;
  }

  /** Pauses the process like SIGSTOP. */
  pause(): void {
    this.#pausedAt = this.clock.now();
    this.#network.pause(this.id);
  }

  /** Resumes the process and runs what is due. */
  resume(): void {
    if (this.#pausedAt === undefined) return;
    this.#resumedAt = this.clock.now();
    this.#pausedMs = this.#resumedAt - this.#pausedAt;
    this.#pausedAt = undefined;
    this.#network.resume(this.id);
  }

  /** Whether the process is running, neither paused nor ended. */
  get isUp(): boolean {
    return !this.#isDead && !this.isPaused;
  }

  /** Records the version in force if it has changed. */
  noteVersion(): void {
    const version = this.runtime.getSnapshot()?.version ?? 0;
    if (version !== (this.versions.at(-1) ?? 0)) this.versions.push(version);
  }

  /** Ends the process and all of its connections at once. */
  destroy(): void {
    this.#isDead = true;
    this.#pausedAt = undefined;
    this.#network.removeVm(this.id);
    for (const sink of this.sinks) sink.closeBroken();
    this.transport.close();
    this.runtime.stop();
  }
}

/** The timers of one incarnation; none fires after its end. */
export class FuzzVmClock extends Clock {
  readonly #clock: Clock;
  readonly #isDead: () => boolean;
  /** Timers that have neither fired nor been cancelled. */
  pending = 0;

  constructor(clock: Clock, isDead: () => boolean) {
    super();
    this.#clock = clock;
    this.#isDead = isDead;
  }

  static create(clock: Clock, isDead: () => boolean): FuzzVmClock {
    return new FuzzVmClock(clock, isDead);
  }

  override now(): number {
    return this.#clock.now();
  }

  override wallTime(): number {
    return this.#clock.wallTime();
  }

  override startTimer(ms: number, callback: () => void): CancelTimer {
    let isOver = false;
    const end = () => {
      if (!isOver) this.pending--;
      isOver = true;
    };
    this.pending++;
    const cancel = this.#clock.startTimer(ms, () => {
      if (this.#isDead()) return;
      end();
      callback();
    });
    return () => {
      end();
      cancel();
    };
  }
}

class FuzzVmPeers extends PeerDirectory {
  readonly #directory: PeerDirectory;
  readonly #isDead: () => boolean;

  constructor(directory: PeerDirectory, isDead: () => boolean) {
    super();
    this.#directory = directory;
    this.#isDead = isDead;
  }

  override getPeer(vm: VmId): PeerApi {
    return stopAfterEnd(this.#directory.getPeer(vm), this.#isDead);
  }
}

/** Makes calls neither start nor complete once the process has ended. */
function stopAfterEnd(api: PeerApi, isDead: () => boolean): PeerApi {
  return new Proxy(api, {
    get(target, name) {
      const method: unknown = Reflect.get(target, name);
      if (typeof method !== "function") return method;
      return (...args: unknown[]) =>
        new Promise((resolve, reject) => {
          if (isDead()) return;
          const call = method.apply(target, args) as Promise<unknown>;
          call.then(
            (value) => isDead() || resolve(value),
            (error) => isDead() || reject(error),
          );
        });
    },
  });
}
