/**
 * VMs that follow the store and each other in virtual time, for tests of how
 * changes spread. Datagrams, calls between VMs and calls to the store can be
 * cut, lost or left unanswered.
 *
 * @module
 */
import {
  type DataCentre,
  type Incarnation,
  type PoolName,
  toId,
  type VmId,
} from "../../src/ids.ts";
import { SilentLog } from "../../src/process/log.ts";
import {
  type ListedReplica,
  ReplicaDirectory,
  type ReplicaList,
} from "../../src/process/placement/index.ts";
import { SeededRandom } from "../../src/process/random.ts";
import { PoolOwners } from "../../src/process/seeded_fleet/pool_owners.ts";
import {
  DatagramLink,
  FleetHeartbeats,
  type HeartbeatContent,
  type PublishedState,
  PublishedStore,
  StateFollower,
  StoreHistory,
  type StoreUpdate,
  type WholeState,
  type WorkReport,
} from "../../src/process/seeded_fleet/index.ts";
import type {
  KnownVersions,
  NewerState,
} from "../../src/process/seeded_fleet/newer_state.ts";
import type { PublishedConfiguration } from "../../src/version/published_configuration.ts";
import { VirtualClock } from "../../standin/virtual_clock.ts";

const NO_NEWS = { entries: [], reports: [], answers: [] };

const DATAGRAM_MS = 1;
const PEER_CALL_MS = 2;
const STORE_CALL_MS = 4;
/** Size of a replica's entry in a read of the store. */
const ENTRY_BYTES = 300;
/** Timeout of a call to another VM, as the product has it. */
const PEER_CALL_TIMEOUT_MS = 1_000;
/** Timeout of connecting, as the product has it. */
const CONNECT_TIMEOUT_MS = 250;

const CONFIGURATION: PublishedConfiguration = {
  version: 1,
  records: [],
  routes: [],
  callerBounds: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headersTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
};

/** Options of a fleet. */
export interface VirtualFleetOptions {
  vms: number;
  dataCentres: number;
  replicas: number;
  seed?: number;
}

/** What the store held at a moment, to be restored later. */
export interface VirtualCopy {
  listed: ReadonlyMap<VmId, ListedReplica>;
  version: number;
  revision: number;
}

/** A change of a replica's entry; undefined if it was removed. */
export interface VirtualChange {
  revision: number;
  id: VmId;
  replica: ListedReplica | undefined;
}

/** A VM of the fleet. */
export interface VirtualVm {
  index: number;
  /** Counts the starts of its process. */
  starts: number;
  name: VmId;
  dataCentre: DataCentre;
  replicas: ReplicaDirectory;
  heartbeats: FleetHeartbeats;
  follower: StateFollower;
  owners?: PoolOwners;
  /** Calls to the store, failed ones included. */
  storeCalls: number;
  /** Reads of the store's whole state. */
  wholeReads: number;
  /** Whether a watch of this VM leaves a change out. */
  misses: (change: VirtualChange) => boolean;
}

/** VMs, their store, and the paths between them. */
export class VirtualSeededFleet {
  readonly clock = VirtualClock.create();
  readonly vms: VirtualVm[] = [];
  /** Whether a datagram or call between two VMs is dropped. */
  isCut: (from: VirtualVm, to: VirtualVm) => boolean = () => false;
  /** Time until the store answers a call. */
  storeCallMs = STORE_CALL_MS;
  /** The oldest revision from which a watch can go on. */
  #oldestRevision = 0;
  /** Milliseconds until a datagram is read. */
  computeDatagramMs: (from: VirtualVm, to: VirtualVm) => number = () =>
    DATAGRAM_MS;
  /** Whether a call between two VMs is left unanswered. */
  isSilent: (from: VirtualVm, to: VirtualVm) => boolean = () => false;
  /** Whether a call of the VM to the store fails, after the given time. */
  failStoreCall: (vm: VirtualVm) => number | undefined = () => undefined;
  readonly #random: SeededRandom;
  readonly #handles = new Map<
    string,
    (bytes: Uint8Array, from: string) => void
  >();
  readonly #listed = new Map<VmId, ListedReplica>();
  /** Changes of entries, oldest first. */
  #changes: VirtualChange[] = [];
  #revision = 1;
  /** Counts the copies that were restored. */
  #era = 1;
  /** Version of the configuration in the store. */
  #version = 1;
  #waiting: (() => void)[] = [];

  constructor({ seed = 1 }: VirtualFleetOptions) {
    this.#random = SeededRandom.create(seed);
  }

  /** Starts the VMs and lets them find each other. */
  static async create(
    options: VirtualFleetOptions,
  ): Promise<VirtualSeededFleet> {
    const fleet = new VirtualSeededFleet(options);
    for (let index = 1; index <= options.replicas; index++) {
      fleet.list(toId<VmId>(`i-${index}`));
    }
    for (let index = 0; index < options.vms; index++) {
      fleet.#addVm(index, options);
    }
    for (const { follower, heartbeats } of fleet.vms) {
      follower.start();
      heartbeats.start();
    }
    await fleet.clock.run(20_000);
    return fleet;
  }

  stop(): void {
    for (const { follower, heartbeats } of this.vms) {
      follower.stop();
      heartbeats.stop();
    }
  }

  /** Adds or replaces a replica's entry in the store. */
  list(id: VmId, state: ListedReplica["state"] = "ready"): void {
    const replica = {
      id,
      pool: toId<PoolName>("pool"),
      address: "10.9.0.1",
      port: 1,
      dataCentre: toId<DataCentre>("dc-0"),
      slots: 4,
      state,
    };
    this.#listed.set(id, replica);
    this.#addChange(id, replica);
  }

  /** Removes a replica's entry from the store. */
  remove(id: VmId): void {
    this.#listed.delete(id);
    this.#addChange(id, undefined);
  }

  /** Writes a version of the configuration. */
  putVersion(version: number): void {
    this.#version = version;
    this.#flushChange();
  }

  takeCopy(): VirtualCopy {
    return {
      listed: new Map(this.#listed),
      version: this.#version,
      revision: this.#revision,
    };
  }

  /** Goes on from a copy, as if what came after had never been written. */
  applyCopy({ listed, version, revision }: VirtualCopy): void {
    this.#listed.clear();
    for (const [id, replica] of listed) this.#listed.set(id, replica);
    this.#version = version;
    this.#revision = revision;
    this.#changes = this.#changes.filter((each) => each.revision <= revision);
    this.#era += 1;
    this.#flushWaiting();
  }

  /** Ends a VM's process and starts another. */
  restartVm(vm: VirtualVm): void {
    vm.follower.stop();
    vm.heartbeats.stop();
    vm.starts += 1;
    this.#startVm(vm);
    vm.follower.start();
    vm.heartbeats.start();
  }

  /**
   * Removes a replica; resolves to the time after which each VM no longer
   * considers it ready, in milliseconds, by the VM's index.
   */
  async runRemoval(id: VmId, limitMs: number): Promise<number[]> {
    const removedAt = this.clock.now();
    this.remove(id);
    const times = this.vms.map(() => Infinity);
    while (this.clock.now() < removedAt + limitMs) {
      await this.clock.run(10);
      this.vms.forEach(({ replicas }, index) => {
        if (replicas.isReady(id)) times[index] = Infinity;
        else if (times[index] === Infinity) {
          times[index] = this.clock.now() - removedAt;
        }
      });
    }
    return times;
  }

  /** Makes watches from before now learn that the history is gone. */
  dropHistory(): void {
    this.#oldestRevision = this.#revision;
  }

  /** Whether a watch from `revision` can tell what came after it. */
  hasHistory(revision: number): boolean {
    return revision >= this.#oldestRevision && revision <= this.#revision;
  }

  listChangesAfter(revision: number): VirtualChange[] {
    const first = this.#changes.findIndex((each) => each.revision > revision);
    return first === -1 ? [] : this.#changes.slice(first);
  }

  /** The state that the store publishes. */
  buildState(): PublishedState {
    const position = { era: this.#era, revision: this.#revision };
    return {
      ...position,
      configuration: { ...CONFIGURATION, version: this.#version },
      replicas: {
        ...position,
        replicas: [...this.#listed.values()],
      },
    };
  }

  /** Resolves at the next change, or after `ms`. */
  waitForChange(revision: number, ms: number): Promise<void> {
    if (this.#revision !== revision) return Promise.resolve();
    return new Promise((resolve) => {
      const cancelTimer = this.clock.startTimer(ms, () => resolve());
      this.#waiting.push(() => {
        cancelTimer();
        resolve();
      });
    });
  }

  send(from: VirtualVm, to: string, bytes: Uint8Array): void {
    const receiver = this.vms.find(({ index }) => toEndpoint(index) === to);
    if (receiver === undefined || this.isCut(from, receiver)) return;
    this.clock.startTimer(this.computeDatagramMs(from, receiver), () => {
      this.#handles.get(to)?.(bytes, toEndpoint(from.index));
    });
  }

  setHandler(vm: VirtualVm, handle: (bytes: Uint8Array, from: string) => void) {
    this.#handles.set(toEndpoint(vm.index), handle);
  }

  #addChange(id: VmId, replica: ListedReplica | undefined): void {
    this.#changes.push({ revision: this.#revision + 1, id, replica });
    this.#flushChange();
  }

  #flushChange(): void {
    this.#revision += 1;
    this.#flushWaiting();
  }

  #flushWaiting(): void {
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((wake) => wake());
  }

  #addVm(index: number, options: VirtualFleetOptions): void {
    const name = toId<VmId>(`vm-${index}`);
    const vm = {
      index,
      starts: 1,
      name,
      dataCentre: toId<DataCentre>(`dc-${index % options.dataCentres}`),
      storeCalls: 0,
      wholeReads: 0,
      misses: () => false,
    } as unknown as VirtualVm;
    this.vms.push(vm);
    this.#startVm(vm);
  }

  #startVm(vm: VirtualVm): void {
    const { name } = vm;
    vm.replicas = ReplicaDirectory.create();
    vm.heartbeats = this.#createHeartbeats(vm);
    vm.follower = StateFollower.create({
      vm: name,
      incarnation: toIncarnation(vm),
      clock: this.clock,
      random: SeededRandom.create(this.#random.nextInt(1_000_000)),
      log: SilentLog.create(),
      store: new VirtualStore(this, vm),
      createStore: () => new VirtualStore(this, vm),
      peers: vm.heartbeats.peers,
      replicas: vm.replicas,
      entryRenewalMs: 1_200,
      fetchFrom: ({ heartbeat }, known) =>
        this.#fetchFrom(vm, heartbeat.vm, known),
      onSnapshot: () => vm.heartbeats.announceState(),
      onList: () => {},
      buildVersionRecord: () => undefined,
      onReplicas: () => vm.heartbeats.announceState(),
      onStoreLost: () => vm.heartbeats.announceNow(),
      findLastSend: () => undefined,
    });
  }

  #createHeartbeats(vm: VirtualVm): FleetHeartbeats {
    return FleetHeartbeats.create({
      vm: vm.name,
      clock: this.clock,
      random: SeededRandom.create(this.#random.nextInt(1_000_000)),
      log: SilentLog.create(),
      link: new VirtualLink(this, vm),
      getSeeds: () => [0, 1, 2].map(toEndpoint),
      self: toEndpoint(vm.index),
      buildHeartbeat: () => buildHeartbeat(vm),
      hasRecentWaits: () => false,
      takeWorkUpdates: () => [
        { owners: listOwners(vm), work: NO_WORK, isNew: false },
      ],
      listOwners: () => listOwners(vm),
      onHeartbeat: (peer) => vm.follower.notePeer(peer),
      onPlacementRequest: ({ ask }) => ({ kind: "answer", ask, isFull: false }),
      onSuspects: () => NO_NEWS,
      listSuspects: () => NO_NEWS,
      onNewsAnswer: () => {},
      onPlacementAnswer: () => {},
      onOrigin: () => {},
      onOriginQuery: ({ ask }) => ({
        kind: "origin_answer",
        ask,
        vm: vm.name,
      }),
      onOriginAnswer: () => {},
    });
  }

  async #fetchFrom(
    vm: VirtualVm,
    peer: VmId,
    known: KnownVersions,
  ): Promise<NewerState> {
    const other = this.vms.find(({ name }) => name === peer)!;
    if (this.isCut(vm, other)) {
      await this.clock.sleep(CONNECT_TIMEOUT_MS);
      throw new Error("Connecting timed out");
    }
    if (this.isSilent(vm, other)) {
      await this.clock.sleep(PEER_CALL_TIMEOUT_MS);
      throw new Error("No answer");
    }
    await this.clock.sleep(PEER_CALL_MS);
    return other.follower.buildNewerState(known);
  }
}

const NO_WORK: WorkReport = {
  loads: [],
  unreached: [],
  rejections: [],
  results: [],
  speeds: [],
  placements: [],
  reads: [],
  lastAsk: 0,
  openAsks: [],
  limits: [],
  leaving: [],
};

/** The store as one VM reaches it. */
class VirtualStore extends PublishedStore {
  readonly #fleet: VirtualSeededFleet;
  readonly #vm: VirtualVm;
  readonly #history = StoreHistory.create();
  /** What this client has read. */
  #listed = new Map<VmId, ListedReplica>();

  constructor(fleet: VirtualSeededFleet, vm: VirtualVm) {
    super();
    this.#fleet = fleet;
    this.#vm = vm;
  }

  override async fetchState(): Promise<WholeState> {
    this.#vm.wholeReads += 1;
    const { newest } = this.#history;
    await this.#waitForAnswer();
    const state = this.#fleet.buildState();
    this.#history.noteEra(state.era);
    this.#history.noteWholeRead(state.revision, newest);
    this.#setListed(state.replicas);
    const sizeBytes = ENTRY_BYTES * state.replicas.replicas.length;
    return { ...state, sizeBytes, listed: undefined };
  }

  override async watch(waitMs: number): Promise<StoreUpdate> {
    if (this.#history.needsWholeRead) return { kind: "history_lost" };
    await this.#waitForAnswer();
    const known = Math.floor(this.#history.revision);
    if (!this.#fleet.hasHistory(known)) return { kind: "history_lost" };
    await this.#fleet.waitForChange(known, waitMs);
    const failsAfterMs = this.#fleet.failStoreCall(this.#vm);
    if (failsAfterMs !== undefined) throw new Error("Watch was cut");
    const state = this.#fleet.buildState();
    if (this.#history.noteEra(state.era) || state.revision < known) {
      return { kind: "history_lost" };
    }
    this.#history.noteChange(state.revision);
    this.#applyChanges(known);
    const listed = [...this.#listed.values()];
    return {
      kind: "state",
      state: { ...state, replicas: { ...state.replicas, replicas: listed } },
      isComplete: true,
      listed,
    };
  }

  override resumeFrom(list: ReplicaList): void {
    this.#history.noteHeard(list);
    if (this.#history.resumeFrom(list)) this.#setListed(list);
  }

  override replaceBy(list: ReplicaList): void {
    this.#history.replaceBy(list);
    this.#setListed(list);
  }

  #setListed({ replicas }: ReplicaList): void {
    this.#listed = new Map(replicas.map((each) => [each.id, each]));
  }

  #applyChanges(after: number): void {
    for (const change of this.#fleet.listChangesAfter(after)) {
      if (this.#vm.misses(change)) continue;
      const { id, replica } = change;
      if (replica === undefined) this.#listed.delete(id);
      else this.#listed.set(id, replica);
    }
  }

  async #waitForAnswer(): Promise<void> {
    this.#vm.storeCalls += 1;
    const failsAfterMs = this.#fleet.failStoreCall(this.#vm);
    await this.#fleet.clock.sleep(
      failsAfterMs ?? this.#fleet.storeCallMs,
    );
    if (failsAfterMs !== undefined) throw new Error("Store did not answer");
  }
}

class VirtualLink extends DatagramLink {
  readonly #fleet: VirtualSeededFleet;
  readonly #vm: VirtualVm;

  constructor(fleet: VirtualSeededFleet, vm: VirtualVm) {
    super();
    this.#fleet = fleet;
    this.#vm = vm;
  }

  send(to: string, bytes: Uint8Array): void {
    this.#fleet.send(this.#vm, to, bytes);
  }

  onDatagram(handle: (bytes: Uint8Array, from: string) => void): void {
    this.#fleet.setHandler(this.#vm, handle);
  }

  close(): void {}
}

function buildHeartbeat(vm: VirtualVm): HeartbeatContent {
  return {
    vm: vm.name,
    incarnation: toIncarnation(vm),
    dataCentre: vm.dataCentre,
    callers: "10.0.0.1:2",
    state: "10.0.0.1:3",
    isServing: true,
    isDraining: false,
    isPrimed: true,
    configVersion: vm.follower.getSnapshot()?.version ?? 0,
    listRevision: vm.replicas.revision,
    listEra: vm.replicas.position.era,
    listDigest: vm.follower.agreement.digest,
    listAgeMs: vm.follower.getListAgeMs(),
    isStoreLost: vm.follower.isStoreLost,
    cores: 1,
    confirmed: vm.follower.getConfirmation(),
    left: vm.follower.leavings.listRecent(),
    ...vm.follower.restorations.buildNews(),
  };
}

function toIncarnation({ name, starts }: VirtualVm): Incarnation {
  return toId<Incarnation>(`process-${starts}-of-${name}`);
}

/** The VMs that place requests, as `vm` sees the fleet. */
function listOwners(vm: VirtualVm): ReadonlySet<VmId> | undefined {
  const { peers } = vm.heartbeats;
  const key = String(peers.revision);
  if (vm.owners?.key !== key) {
    const live = peers.listLive().map(({ heartbeat }) => heartbeat);
    vm.owners = PoolOwners.create(key, [...live, buildHeartbeat(vm)]);
  }
  return vm.owners.isNeeded ? vm.owners.owners : undefined;
}

function toEndpoint(index: number): string {
  return `10.0.0.${index}:1`;
}
