/**
 * A configuration service in virtual time, for tests and benchmarks.
 *
 * @module
 */
import type { VmId } from "../src/ids.ts";
import type { Clock } from "../src/process/clock.ts";
import { ConfigurationSource } from "../src/process/configuration_source.ts";
import { buildRecordGroups } from "../src/version/index.ts";
import type { ListedVm, RecordIndex } from "../src/version/index.ts";

const READ_DELAY_MS = 3;

/** One configuration service, which several VMs may read. */
export class VirtualService {
  readonly #clock: Clock;
  readonly #groups = new Map<string, unknown[]>();
  #index: RecordIndex | undefined;
  #list: { revision: number; vms: unknown[] } | undefined;
  #waiters = new Set<() => void>();
  /** Number of calls so far; a watch counts once, however long it waits. */
  calls = 0;
  groupCalls = 0;
  isDown = false;
  /** Whether a watch without a change ends at once. */
  endsWatchesEarly = false;
  /** VMs that can reach the service; undefined for all. */
  reachableBy: Set<VmId> | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /**
   * Publishes `records` as `version`, which may be lower than the previous one.
   */
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

  /** Creates the source through which `vm` reads the service. */
  createSource(vm: VmId, clock: Clock): ConfigurationSource {
    return new VirtualServiceSource({ service: this, vm, clock });
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
      this.#checkReachable(reader.vm);
      const value = find();
      if (value !== undefined) return structuredClone(value);
      const leftMs = endsAt - this.#clock.now();
      const isOver = leftMs <= 0 || this.endsWatchesEarly;
      if (isOver || options.signal?.aborted) return undefined;
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

  #checkReachable(vm: VmId): void {
    const isReachable = this.reachableBy?.has(vm) ?? true;
    if (this.isDown || !isReachable) throw new Error("Service unreachable");
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

class VirtualServiceSource extends ConfigurationSource {
  readonly #service: VirtualService;
  readonly #reader: { vm: VmId; clock: Clock };

  constructor(options: { service: VirtualService; vm: VmId; clock: Clock }) {
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
