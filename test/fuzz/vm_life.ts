/**
 * One life of an entry VM's process. After its end nothing of it is heard, and
 * nothing of it runs.
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

/** Small, so that bursts shed. */
const QUEUE_BOUND = 3;

/** What a life begins with. */
export interface LifeOptions {
  self: ListedVm;
  number: number;
  seed: number;
  network: VirtualNetwork;
  upstreams: FuzzUpstreams;
  seeds: readonly VmId[];
  buildSource: (clock: Clock) => ConfigurationSource;
  log: Log;
}

/** A process on an entry VM, from its start to its end. */
export class VmLife {
  readonly self: ListedVm;
  readonly incarnation: Incarnation;
  readonly clock: LifeClock;
  readonly runtime: VmRuntime;
  readonly transport: FuzzTransport;
  readonly sinks = new Set<FuzzSink>();
  /** Versions in force, each as it was first seen. */
  readonly versions: number[] = [];
  #pausedAt: number | undefined;
  #resumedAt = -1;
  #pausedMs = 0;
  #isDead = false;
  readonly #network: VirtualNetwork;

  constructor(options: LifeOptions) {
    const { self, network, upstreams, seeds, log } = options;
    const isDead = () => this.#isDead;
    this.self = self;
    this.incarnation = toId(`i${options.number}`);
    this.#network = network;
    this.clock = LifeClock.create(network.createClock(self.id), isDead);
    this.transport = upstreams.createTransport(this);
    this.runtime = VmRuntime.create({
      environment: {
        vm: self.id,
        incarnation: this.incarnation,
        dataCentre: self.dataCentre,
        clock: this.clock,
        random: SeededRandom.create(options.seed),
        log,
        peers: new LifeDirectory(network.createDirectory(self.id), isDead),
        upstreams: this.transport,
      },
      self,
      source: options.buildSource(this.clock),
      seeds,
      queueBound: QUEUE_BOUND,
    });
    network.addVm(self.id, stopAfterEnd(this.runtime.api, isDead));
  }

  static create(options: LifeOptions): VmLife {
    return new VmLife(options);
  }

  get vm(): VmId {
    return this.self.id;
  }

  get isDead(): boolean {
    return this.#isDead;
  }

  get isPaused(): boolean {
    return this.#pausedAt !== undefined;
  }

  /** Whether the process goes on at this moment, past all of its leases. */
  get hasLostLeases(): boolean {
    return this.#resumedAt === this.clock.now() &&
      this.#pausedMs > LEASE_TTL_MS;
  }

  /** Stops the process as SIGSTOP does. */
  pause(): void {
    this.#pausedAt = this.clock.now();
    this.#network.pause(this.vm);
  }

  /** Lets it go on; what waited happens now. */
  resume(): void {
    if (this.#pausedAt === undefined) return;
    this.#resumedAt = this.clock.now();
    this.#pausedMs = this.#resumedAt - this.#pausedAt;
    this.#pausedAt = undefined;
    this.#network.resume(this.vm);
  }

  /** Whether the process runs now. */
  get isUp(): boolean {
    return !this.#isDead && !this.isPaused;
  }

  /** Takes the version in force down, where it is another than before. */
  noteVersion(): void {
    const version = this.runtime.getSnapshot()?.version ?? 0;
    if (version !== (this.versions.at(-1) ?? 0)) this.versions.push(version);
  }

  /** Ends the process at once, with all of its connections. */
  destroy(): void {
    this.#isDead = true;
    this.#pausedAt = undefined;
    this.#network.removeVm(this.vm);
    for (const sink of this.sinks) sink.closeBroken();
    this.transport.close();
    this.runtime.stop();
  }
}

/** Timers of one life; none fires after its end. */
export class LifeClock extends Clock {
  readonly #clock: Clock;
  readonly #isDead: () => boolean;
  /** Timers that have neither fired nor been stopped. */
  pending = 0;

  constructor(clock: Clock, isDead: () => boolean) {
    super();
    this.#clock = clock;
    this.#isDead = isDead;
  }

  static create(clock: Clock, isDead: () => boolean): LifeClock {
    return new LifeClock(clock, isDead);
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

class LifeDirectory extends PeerDirectory {
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

/** Calls neither start nor end once the process is dead. */
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
