/**
 * The demo's fleet: stand-ins and eight entry VMs, each in its own process.
 *
 * @module
 */
import { randomBytes } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { EngineOptions } from "../standin/engine_options.ts";
import {
  type Child,
  ChildProcessGroup,
  hasEnded,
  readLogTail,
} from "./child_process_group.ts";
import {
  type Example,
  type ExampleVm,
  listRecords,
} from "./example_records.ts";
import { findFreePorts } from "./free_ports.ts";
import { fetchJson, sendCall } from "./http_call.ts";

const READY_TIMEOUT_MS = 30_000;
const READY_POLL_MS = 100;
const STOP_TIMEOUT_MS = 15_000;
const DRAIN_GRACE_MS = 8_000;
const ENTRIES_TTL_MS = 1_000;
const PORTS_PER_VM = 3;

/** One entry VM of the demo. */
export interface EntryVm {
  id: string;
  port: number;
  operatorPort: number;
  child: Child;
}

/** Directories of the compiled programs and of the fleet's files. */
export interface FleetOptions {
  root: string;
  directory: string;
  /** Overrides the stand-in engine's default options. */
  engineOptions?: Partial<EngineOptions>;
}

interface VmPorts {
  callers: number;
  peers: number;
  operators: number;
}

/** All processes of one user's demo. */
export class DemoFleet {
  readonly entryVms: EntryVm[] = [];
  readonly enginePorts: number[] = [];
  readonly servicePorts: number[] = [];
  readonly #example: Example;
  readonly #options: FleetOptions;
  readonly #children: ChildProcessGroup;
  /** The secret between peers, also used as the operators' token. */
  readonly secret = randomBytes(16).toString("hex");

  constructor(example: Example, options: FleetOptions) {
    this.#example = example;
    this.#options = options;
    mkdirSync(options.directory, { recursive: true });
    this.#children = ChildProcessGroup.create(options.directory);
  }

  static create(example: Example, options: FleetOptions): DemoFleet {
    return new DemoFleet(example, options);
  }

  /** Starts all processes; resolves once every entry VM is ready. */
  async start(): Promise<void> {
    const upstreams = await this.#startUpstreams();
    const [platformPort] = await this.#startStandIns("platform", 1);
    const entries = this.#listVms("entry");
    const ports = await findVmPorts(entries.length);
    const listed = entries.map((vm, index) => ({
      ...vm,
      port: ports[index]!.callers,
      peer_port: ports[index]!.peers,
    }));
    await fetchJson({
      port: platformPort!,
      method: "POST",
      path: "/control",
      body: JSON.stringify({
        groups: this.#example.groups,
        vms: [...listed, ...upstreams],
      }),
    });
    for (const [index, vm] of listed.entries()) {
      this.#startVm(vm, { ports: ports[index]!, platformPort: platformPort! });
    }
    await Promise.all(this.entryVms.map(waitUntilReady));
  }

  /** Kills one entry VM with SIGKILL. */
  async destroy(vm: EntryVm): Promise<void> {
    await this.#children.destroy(vm.child);
  }

  /** Stops all processes; returns the problems that occurred. */
  async stop(): Promise<string[]> {
    // The VMs first: while they drain they still need the stand-ins.
    const vms = this.entryVms.map((vm) => vm.child);
    const killed = await this.#children.stop(vms, STOP_TIMEOUT_MS);
    const rest = this.#children.listAlive();
    killed.push(...await this.#children.stop(rest, STOP_TIMEOUT_MS));
    const alive = this.#children.listAlive();
    return [
      ...killed.map((name) => `${name} did not exit on SIGTERM and was killed`),
      ...alive.map((child) => `${child.name} is still running`),
    ];
  }

  async #startUpstreams(): Promise<ExampleVm[]> {
    const upstreams = this.#listVms("upstream");
    const listed: ExampleVm[] = [];
    for (const pool of listRecords(this.#example, "upstream_pool")) {
      const members = upstreams.filter((vm) => vm.pool === pool.name);
      const kind = pool.type === "model" ? "engine" : "service";
      const options = {
        models: pool.models ?? [],
        ...this.#options.engineOptions,
      };
      const ports = await this.#startStandIns(kind, members.length, options);
      const poolPorts = kind === "engine"
        ? this.enginePorts
        : this.servicePorts;
      poolPorts.push(...ports);
      listed.push(
        ...members.map((vm, index) => ({ ...vm, port: ports[index]! })),
      );
    }
    return listed;
  }

  async #startStandIns(
    kind: string,
    count: number,
    options: unknown = {},
  ): Promise<number[]> {
    const line = await this.#children.startAndReadLine({
      name: `${kind}-stand-in`,
      args: [
        join(this.#options.root, "dist/standin/main.js"),
        kind,
        ...Array.from({ length: count }, () => "--port=0"),
        `--options=${JSON.stringify(options)}`,
      ],
    });
    return (JSON.parse(line) as { ports: number[] }).ports;
  }

  #startVm(
    vm: ExampleVm,
    options: { ports: VmPorts; platformPort: number },
  ): void {
    const file = join(this.#options.directory, `${vm.id}.json`);
    writeFileSync(file, JSON.stringify(this.#buildSettings(vm, options)));
    const child = this.#children.start({
      name: vm.id,
      args: [
        join(this.#options.root, "dist/src/bin/persimmonslipd.js"),
        "--settings",
        file,
      ],
    });
    this.entryVms.push({
      id: vm.id,
      port: options.ports.callers,
      operatorPort: options.ports.operators,
      child,
    });
  }

  #buildSettings(
    vm: ExampleVm,
    options: { ports: VmPorts; platformPort: number },
  ) {
    const { ports, platformPort } = options;
    const host = vm.address;
    return {
      vm: vm.id,
      data_centre: vm.data_centre,
      address: vm.address,
      listeners: {
        callers: { port: ports.callers, host },
        peers: { port: ports.peers, host, secret: this.secret },
        operators: { port: ports.operators, host, token: this.secret },
      },
      source: { kind: "service", urls: [`http://127.0.0.1:${platformPort}`] },
      drain: { grace_ms: DRAIN_GRACE_MS, entries_ttl_ms: ENTRIES_TTL_MS },
    };
  }

  #listVms(role: ExampleVm["role"]): ExampleVm[] {
    return this.#example.vms.filter((vm) => vm.role === role);
  }
}

async function findVmPorts(count: number): Promise<VmPorts[]> {
  const ports = await findFreePorts(count * PORTS_PER_VM);
  return Array.from({ length: count }, (_, index) => ({
    callers: ports[index * PORTS_PER_VM]!,
    peers: ports[index * PORTS_PER_VM + 1]!,
    operators: ports[index * PORTS_PER_VM + 2]!,
  }));
}

async function waitUntilReady(vm: EntryVm): Promise<void> {
  const attempts = READY_TIMEOUT_MS / READY_POLL_MS;
  for (let count = 0; count < attempts; count++) {
    if (hasEnded(vm.child)) break;
    const call = { port: vm.operatorPort, method: "GET", path: "/readyz" };
    const result = await sendCall(call);
    if (result.kind === "whole" && result.status === 200) return;
    await sleep(READY_POLL_MS);
  }
  const tail = readLogTail(vm.child.logFile);
  throw new Error(`${vm.id} did not become ready; end of its log:\n${tail}`);
}
