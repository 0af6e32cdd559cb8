/**
 * One entry VM as a process that tests start, pause, kill and query.
 *
 * @module
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import {
  type Child,
  type ChildProcessGroup,
  hasEnded,
} from "../../demo/child_process_group.ts";
import { fetchJson, sendCall } from "../../demo/http_call.ts";

/** The ports of a VM's listeners. */
export interface VmPorts {
  callers: number;
  peers: number;
  operators: number;
}

/** Start options of a VM. */
export interface ProcessVmOptions {
  id: string;
  dataCentre: string;
  ports: VmPorts;
  /** The daemon's compiled module. */
  program: string;
  directory: string;
  children: ChildProcessGroup;
  secret: string;
  sourceUrl: string;
  graceMs: number;
  entriesTtlMs: number;
  /** The settings' `limits`. */
  limits: Record<string, number>;
  logLevel: string;
  seeds: { vm: string; address: string; peer_port: number }[];
}

/** The answer of `GET /v1/status`. */
export interface VmStatus {
  vm: string;
  incarnation: string;
  config_version: number;
  list_revision: number;
  draining: boolean;
  in_flight: number;
  members: { vm: string; state: string; config_version: number | null }[];
  shards: {
    shard: string;
    owner: string;
    slots: number;
    room: number;
    waiting_by_rank: Record<string, number>;
  }[];
}

/** The answer of `GET /v1/versions`. */
export interface VmVersions {
  vms: { vm: string; version: number; since_ms: number | null }[];
  history: { version: number; ageMs: number; from: string }[];
}

/** One daemon's process. */
export class ProcessVm {
  readonly #options: ProcessVmOptions;
  #child: Child | undefined;

  constructor(options: ProcessVmOptions) {
    this.#options = options;
    mkdirSync(options.directory, { recursive: true });
  }

  static create(options: ProcessVmOptions): ProcessVm {
    return new ProcessVm(options);
  }

  get id(): string {
    return this.#options.id;
  }

  get port(): number {
    return this.#options.ports.callers;
  }

  get ports(): VmPorts {
    return this.#options.ports;
  }

  /** The process id; 0 before the first start. */
  get pid(): number {
    return this.#child?.pid ?? 0;
  }

  get hasEnded(): boolean {
    return this.#child === undefined || hasEnded(this.#child);
  }

  get exitCode(): number | null {
    return this.#child?.process.exitCode ?? null;
  }

  /** The VM's complete log over all its starts. */
  readLog(): string {
    return readFileSync(this.#child!.logFile, "utf8");
  }

  /** Starts or restarts the process with the same settings. */
  start(): void {
    const { id, directory, program, children } = this.#options;
    const file = join(directory, `${id}.json`);
    writeFileSync(file, JSON.stringify(this.#buildSettings()));
    this.#child = children.start({
      name: id,
      args: [program, "--settings", file],
    });
  }

  /** Kills the process with SIGKILL. */
  async destroy(): Promise<void> {
    if (this.#child === undefined) return;
    await this.#options.children.destroy(this.#child);
  }

  /** Sends SIGTERM: the process drains and exits by itself. */
  drain(): void {
    this.#child?.process.kill("SIGTERM");
  }

  /** Pauses the process with SIGSTOP. */
  stop(): void {
    this.#child?.process.kill("SIGSTOP");
  }

  /** Continues the process with SIGCONT. */
  resume(): void {
    this.#child?.process.kill("SIGCONT");
  }

  /** Whether `/readyz` answers 200. */
  async isReady(): Promise<boolean> {
    const call = {
      port: this.#options.ports.operators,
      method: "GET",
      path: "/readyz",
    };
    const result = await sendCall(call);
    return result.kind === "whole" && result.status === 200;
  }

  async fetchStatus(): Promise<VmStatus> {
    return await this.#askOperator<VmStatus>("GET", "/v1/status");
  }

  async fetchVersions(): Promise<VmVersions> {
    return await this.#askOperator<VmVersions>("GET", "/v1/versions");
  }

  /** Starts a drain through the operator API. */
  async startDrain(): Promise<void> {
    await this.#askOperator("POST", "/v1/drain");
  }

  /** Fetches the entry VMs and ports that this VM returns to callers. */
  async fetchEntries(limit = 64): Promise<{ vm: string; port: number }[]> {
    const answer = await fetchJson<{
      entries: { vm: string; port: number }[];
    }>({
      port: this.port,
      method: "GET",
      path: `/v1/entries?limit=${limit}`,
    });
    return answer.entries;
  }

  #askOperator<T>(method: string, path: string): Promise<T> {
    const { secret, ports } = this.#options;
    const headers = { authorization: `Bearer ${secret}` };
    return fetchJson<T>({ port: ports.operators, method, path, headers });
  }

  #buildSettings() {
    const { id, dataCentre, ports, secret, sourceUrl, seeds } = this.#options;
    const host = "127.0.0.1";
    return {
      vm: id,
      data_centre: dataCentre,
      address: host,
      listeners: {
        callers: { port: ports.callers, host },
        peers: { port: ports.peers, host, secret },
        operators: { port: ports.operators, host, token: secret },
      },
      source: { kind: "service", urls: [sourceUrl] },
      drain: {
        grace_ms: this.#options.graceMs,
        entries_ttl_ms: this.#options.entriesTtlMs,
      },
      limits: this.#options.limits,
      log_level: this.#options.logLevel,
      seeds,
    };
  }
}
