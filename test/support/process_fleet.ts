/**
 * A fleet of real daemons on loopback. The stand-ins run in this process, so
 * that a test can inspect them; relays are inserted where options ask for them.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  ChildProcessGroup,
  readLogTail,
} from "../../demo/child_process_group.ts";
import { findFreePorts } from "../../demo/free_ports.ts";
import {
  type EngineOptions,
  EngineServer,
  PlatformServer,
  ServiceServer,
} from "../../standin/index.ts";
import { buildGroups, MODEL, type RecordOptions } from "./process_records.ts";
import { ProcessVm, type VmPorts } from "./process_vm.ts";
import { Relay } from "./relay.ts";

const PORTS_PER_VM = 3;
const READY_MS = 30_000;
const POLL_MS = 50;
const DATA_CENTRES = ["montevideo-1", "montevideo-2"];
const SECRET = "secret-of-the-fleet";

/** Options of a fleet. */
export interface ProcessFleetOptions {
  /** The daemon's compiled module. */
  program: string;
  vms: number;
  engines?: number;
  services?: number;
  engine?: Partial<EngineOptions>;
  serviceDelayMs?: number;
  records?: RecordOptions;
  graceMs?: number;
  entriesTtlMs?: number;
  /** The daemons' `limits` settings. */
  limits?: Record<string, number>;
  logLevel?: "debug" | "info" | "warn";
  /** The kinds of connections that go through relays. */
  relays?: ("peers" | "upstreams" | "platform")[];
}

/** An entry of the membership list as published. */
export interface PublishedVm {
  id: string;
  role: "entry" | "upstream";
  state: "live" | "leaving";
  data_centre: string;
  address: string;
  port: number;
  peer_port: number;
  pool?: string;
}

/** Daemons, stand-ins and relays of one test. */
export class ProcessFleet {
  readonly platform = PlatformServer.create();
  readonly engines: EngineServer[] = [];
  readonly services: ServiceServer[] = [];
  readonly vms: ProcessVm[] = [];
  /**
   * By the name of the VM or upstream behind the relay; `platform:VM` for the
   * connections of one VM to the platform.
   */
  readonly relays = new Map<string, Relay>();
  list: PublishedVm[] = [];
  readonly #options: ProcessFleetOptions;
  readonly #directory: string;
  readonly #children: ChildProcessGroup;

  constructor(options: ProcessFleetOptions) {
    this.#options = options;
    this.#directory = mkdtempSync(join(tmpdir(), "persimmonslip-fleet-"));
    this.#children = ChildProcessGroup.create(this.#directory);
  }

  /** Starts all processes; resolves once each VM is ready. */
  static async create(options: ProcessFleetOptions): Promise<ProcessFleet> {
    const fleet = new ProcessFleet(options);
    try {
      await fleet.#start();
    } catch (thrown) {
      const logs = fleet.readLogTails();
      await fleet.close();
      throw new Error(`${String(thrown)}\n${logs}`, { cause: thrown });
    }
    return fleet;
  }

  getVm(id: string): ProcessVm {
    return this.vms.find((vm) => vm.id === id)!;
  }

  /** Publishes records under the next version and returns that version. */
  announceRecords(options: RecordOptions): number {
    const records = { ...this.#options.records, ...options };
    return this.platform.core.addVersion(buildGroups(records));
  }

  /** Publishes the list with the given VMs in another state, or removed. */
  announceStates(states: Record<string, "live" | "leaving" | "gone">): number {
    this.list = this.list
      .filter((vm) => states[vm.id] !== "gone")
      .map((vm) => {
        const state = states[vm.id];
        return state === undefined || state === "gone" ? vm : { ...vm, state };
      });
    return this.platform.core.addList(this.list);
  }

  /** Waits until the VMs in `among` agree on the owner of a pool's shard. */
  async findOwner(
    pool: string,
    among = this.vms,
    isWanted: (owner: ProcessVm) => boolean = () => true,
  ): Promise<ProcessVm> {
    let found: ProcessVm | undefined;
    await waitUntil(`one owner of ${pool}`, READY_MS, async () => {
      const owners = new Set<string | undefined>();
      for (const vm of among) {
        const status = await vm.fetchStatus();
        const shard = status.shards.find(({ shard }) => shard.includes(pool));
        owners.add(shard?.owner);
      }
      const [owner] = owners;
      if (owners.size !== 1 || owner === undefined) return false;
      found = this.getVm(owner);
      return found !== undefined && isWanted(found);
    });
    return found!;
  }

  /** Kills the remaining processes and removes the files. */
  async close(): Promise<void> {
    for (const child of this.#children.listAlive()) {
      await this.#children.destroy(child);
    }
    for (const relay of this.relays.values()) await relay.close();
    const standIns = [...this.engines, ...this.services, this.platform];
    for (const standIn of standIns) await standIn.stop();
    rmSync(this.#directory, { recursive: true, force: true });
  }

  /** The last lines of the VMs' logs, for failure messages. */
  readLogTails(): string {
    return this.vms
      .map((vm) => readLogTail(join(this.#directory, `${vm.id}.log`)))
      .join("\n\n");
  }

  async #start(): Promise<void> {
    const upstreams = await this.#startUpstreams();
    const platformPort = await this.platform.start();
    const ports = await findVmPorts(this.#options.vms);
    const entries: PublishedVm[] = [];
    for (const [index, vmPorts] of ports.entries()) {
      entries.push(await this.#listEntry(index, vmPorts));
    }
    this.list = [...entries, ...upstreams];
    this.announceRecords({});
    this.platform.core.addList(this.list);
    for (const [index, entry] of entries.entries()) {
      const others = entries.filter((other) => other !== entry);
      const relayName = `platform:${entry.id}`;
      const sourcePort = await this.#findPort(
        "platform",
        relayName,
        platformPort,
      );
      this.vms.push(ProcessVm.create({
        id: entry.id,
        dataCentre: entry.data_centre,
        ports: ports[index]!,
        program: this.#options.program,
        directory: this.#directory,
        children: this.#children,
        secret: SECRET,
        sourceUrl: `http://127.0.0.1:${sourcePort}`,
        graceMs: this.#options.graceMs ?? 30_000,
        entriesTtlMs: this.#options.entriesTtlMs ?? 1_000,
        limits: this.#options.limits ?? {},
        logLevel: this.#options.logLevel ?? "debug",
        seeds: others.map((other) => ({
          vm: other.id,
          address: other.address,
          peer_port: other.peer_port,
        })),
      }));
    }
    for (const vm of this.vms) vm.start();
    await waitUntilReady(this.vms);
  }

  async #listEntry(index: number, ports: VmPorts): Promise<PublishedVm> {
    const id = `entry-${index + 1}`;
    return {
      id,
      role: "entry",
      state: "live",
      data_centre: DATA_CENTRES[index % DATA_CENTRES.length]!,
      address: "127.0.0.1",
      port: ports.callers,
      peer_port: await this.#findPort("peers", id, ports.peers),
    };
  }

  async #startUpstreams(): Promise<PublishedVm[]> {
    const { engines = 2, services = 1 } = this.#options;
    const listed: PublishedVm[] = [];
    for (let index = 0; index < engines; index++) {
      const engine = EngineServer.create({
        models: [{ model: MODEL, version: "1", adapters: [] }],
        ...this.#options.engine,
        seed: index + 1,
      });
      this.engines.push(engine);
      const port = await engine.start();
      listed.push(await this.#listUpstream(`engine-${index + 1}`, port));
    }
    for (let index = 0; index < services; index++) {
      const delayMs = this.#options.serviceDelayMs ?? 2;
      const service = ServiceServer.create({ delayMs });
      this.services.push(service);
      const port = await service.start();
      listed.push(await this.#listUpstream(`service-${index + 1}`, port));
    }
    return listed;
  }

  async #listUpstream(id: string, port: number): Promise<PublishedVm> {
    return {
      id,
      role: "upstream",
      state: "live",
      data_centre: DATA_CENTRES[0]!,
      address: "127.0.0.1",
      port: await this.#findPort("upstreams", id, port),
      peer_port: 0,
      pool: id.startsWith("engine") ? "engines" : "booking",
    };
  }

  /** The port through which to reach a listener: its relay's, if it has one. */
  async #findPort(
    kind: "peers" | "upstreams" | "platform",
    id: string,
    port: number,
  ): Promise<number> {
    if (!this.#options.relays?.includes(kind)) return port;
    const relay = await Relay.create(port);
    this.relays.set(id, relay);
    return relay.port;
  }
}

/**
 * Polls until `isMet` returns true; resolves to the elapsed milliseconds and
 * rejects after `limitMs`.
 */
export async function waitUntil(
  description: string,
  limitMs: number,
  isMet: () => boolean | Promise<boolean>,
): Promise<number> {
  const startedAt = performance.now();
  let error = "";
  while (performance.now() - startedAt < limitMs) {
    try {
      if (await isMet()) return performance.now() - startedAt;
    } catch (thrown) {
      error = `: ${String(thrown)}`;
    }
    await sleep(POLL_MS);
  }
  throw new Error(
    `Timed out after ${limitMs} ms waiting for ${description}${error}`,
  );
}

/** Resolves once every VM is ready. */
export async function waitUntilReady(
  vms: readonly ProcessVm[],
): Promise<number> {
  return await waitUntil("a ready fleet", READY_MS, async () => {
    for (const vm of vms) {
      if (vm.hasEnded) throw new Error(`${vm.id} ended:\n${vm.readLog()}`);
      if (!await vm.isReady()) return false;
    }
    return true;
  });
}

async function findVmPorts(count: number): Promise<VmPorts[]> {
  const ports = await findFreePorts(count * PORTS_PER_VM);
  return Array.from({ length: count }, (_, index) => ({
    callers: ports[index * PORTS_PER_VM]!,
    peers: ports[index * PORTS_PER_VM + 1]!,
    operators: ports[index * PORTS_PER_VM + 2]!,
  }));
}
