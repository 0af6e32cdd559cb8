/**
 * Keeps this VM's configuration and membership list up to date.
 *
 * @module
 */
import { match } from "ts-pattern";
import { toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import { parseMembershipList } from "../version/index.ts";
import type {
  MembershipList,
  RecordIndex,
  Snapshot,
} from "../version/index.ts";
import {
  type PeerVersions,
  VersionExchange,
} from "./configuration_exchange.ts";
import { ConfigurationGroups } from "./configuration_groups.ts";
import {
  type PeerVersionEntry,
  PeerVersionTable,
} from "./configuration_peers.ts";
import { PeerPuller } from "./configuration_puller.ts";
import { SourceReader } from "./configuration_reader.ts";
import {
  type ConfigurationSource,
  getRevision,
} from "./configuration_source.ts";
import {
  type ConfigurationCandidate,
  ConfigurationStore,
  type VersionEntry,
  type VersionOrigin,
} from "./configuration_store.ts";
import type { Environment } from "./environment.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import type { SnapshotAnswer, SnapshotCall } from "./peer_api.ts";

/** Options of `ConfigurationFollower`. */
export interface FollowerOptions {
  environment: Environment;
  source: ConfigurationSource;
  membership: FleetMembership;
  /** VMs to fetch from after a start, before any list is known. */
  seeds: readonly VmId[];
  /** Name of the source in the version history. */
  sourceName?: string;
}

/** Version and origin of this VM's configuration, and the peers' versions. */
export interface VersionReport {
  vm: VmId;
  /** 0 before the first. */
  version: number;
  digest: string;
  /** Undefined before the first. */
  origin: VersionOrigin | undefined;
  listRevision: number;
  viewAgeMs: number;
  isWatcher: boolean;
  /** Latest decisions, oldest first. */
  history: VersionEntry[];
  peers: PeerVersionEntry[];
}

/** Follows the source and the peers. Versions and revisions never decrease. */
export class ConfigurationFollower extends VersionExchange {
  readonly #environment: Environment;
  readonly #membership: FleetMembership;
  readonly #store: ConfigurationStore;
  readonly #groups: ConfigurationGroups;
  readonly #reader: SourceReader;
  readonly #puller: PeerPuller;
  readonly #sourceName: string;
  readonly #peerVersions: PeerVersionTable;
  readonly #snapshotCallbacks: ((snapshot: Snapshot) => void)[] = [];
  readonly #listCallbacks: ((list: MembershipList) => void)[] = [];
  readonly #newVersionCallbacks: (() => void)[] = [];
  #rawList: unknown | undefined;
  /** False after deltas did not apply, until full records are received. */
  #acceptsDeltas = true;

  constructor(options: FollowerOptions) {
    super();
    const { environment, source, membership, seeds } = options;
    this.#environment = environment;
    this.#membership = membership;
    this.#sourceName = options.sourceName ?? "service";
    this.#store = ConfigurationStore.create(environment.clock);
    this.#peerVersions = PeerVersionTable.create({ environment, membership });
    this.#groups = ConfigurationGroups.create(source);
    this.#puller = PeerPuller.create({
      environment,
      membership,
      seeds,
      getVersions: () => this.getVersions(),
      acceptsDeltas: () => this.#acceptsDeltas,
      onAnswer: (vm, answer) => this.#handleAnswer(vm, answer),
    });
    this.#reader = SourceReader.create({
      environment,
      membership,
      source,
      getVersion: () => this.#store.getVersion(),
      onIndex: (index) => this.#handleIndex(index),
      onList: (list) => this.#handleList(list, this.#sourceName),
    });
  }

  static create(options: FollowerOptions): ConfigurationFollower {
    return new ConfigurationFollower(options);
  }

  /** Fetches from peers first, then follows the source and the peers. */
  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#reader.stop();
    this.#puller.stop();
  }

  /** The active configuration; undefined before the first. */
  getSnapshot(): Snapshot | undefined {
    return this.#store.getSnapshot();
  }

  /** The active membership list. */
  getList(): MembershipList {
    return this.#membership.getList();
  }

  /** Whether a configuration is active. */
  isReady(): boolean {
    return this.#store.getSnapshot() !== undefined;
  }

  /** Calls `callback` with each configuration that becomes active. */
  onSnapshot(callback: (snapshot: Snapshot) => void): void {
    this.#snapshotCallbacks.push(callback);
  }

  /** Calls `callback` with each membership list that becomes active. */
  onList(callback: (list: MembershipList) => void): void {
    this.#listCallbacks.push(callback);
  }

  onNewVersion(callback: () => void): void {
    this.#newVersionCallbacks.push(callback);
  }

  getVersions(): PeerVersions {
    const viewAgeMs = this.#membership.getViewAgeMs();
    return {
      configVersion: this.#store.getVersion(),
      configDigest: this.#store.getDigest() || undefined,
      configFrom: this.#store.getOrigin()?.from,
      listRevision: this.#membership.getList().revision,
      listAgeMs: Number.isFinite(viewAgeMs) ? Math.ceil(viewAgeMs) : undefined,
    };
  }

  async notePeerVersions(vm: VmId, versions: PeerVersions): Promise<void> {
    this.#peerVersions.note(vm, versions);
    if (versions.listAgeMs !== undefined) {
      const isFresher = this.#membership.noteListCurrent(
        versions.listRevision,
        versions.listAgeMs,
      );
      if (isFresher) this.#reader.noteOtherRead();
    }
    if (this.#isBehind(versions)) await this.#puller.fetchFrom(vm);
  }

  /** Answers a peer with the configuration and list that it lacks. */
  answerSnapshot(call: SnapshotCall): SnapshotAnswer {
    const version = this.#store.getVersion();
    const isConflict = call.after === version && call.digest !== undefined &&
      call.digest !== this.#store.getDigest();
    const isNewer = version > call.after || isConflict;
    const listRevision = this.#membership.getList().revision;
    const deltas = isNewer && call.takesSteps === true
      ? this.#store.listDeltas(call.digest ?? "")
      : undefined;
    return {
      version,
      records: isNewer && !deltas ? this.#store.getRecords() : undefined,
      ...(deltas && { steps: deltas }),
      list: listRevision > call.listAfter ? this.#rawList : undefined,
    };
  }

  /** Reports the version of each VM, its age and its origin. */
  listVersions(): VersionReport {
    return {
      vm: this.#environment.vm,
      version: this.#store.getVersion(),
      digest: this.#store.getDigest(),
      origin: this.#store.getOrigin(),
      listRevision: this.#membership.getList().revision,
      viewAgeMs: this.#membership.getViewAgeMs(),
      isWatcher: this.#reader.isWatcher(),
      history: this.#store.listHistory(),
      peers: this.#peerVersions.list(),
    };
  }

  async #run(): Promise<void> {
    // A service that was restored from an older state would send an outdated
    // version, and a VM that has just started cannot tell. Its peers can.
    await this.#puller.fetchAtStartup();
    if (!this.isReady()) {
      await this.#reader.readListAtStartup();
      await this.#puller.fetchAtStartup();
    }
    this.#reader.start();
  }

  async #handleIndex(index: RecordIndex): Promise<void> {
    if (index.version <= this.#store.getVersion()) return;
    const records = await this.#groups.fetchRecords(index);
    this.#apply({
      version: index.version,
      records,
      from: this.#sourceName,
    });
  }

  #handleAnswer(vm: VmId, answer: SnapshotAnswer): void {
    if (answer.list !== undefined && answer.list !== null) {
      this.#handleList(answer.list, vm);
    }
    const records = this.#readRecords(answer);
    if (!Array.isArray(records)) return;
    this.#apply({ version: answer.version, records, from: vm });
  }

  #readRecords(answer: SnapshotAnswer): unknown[] | undefined {
    if (answer.steps === undefined) {
      if (Array.isArray(answer.records)) this.#acceptsDeltas = true;
      return answer.records;
    }
    const records = this.#store.buildRecords(answer.steps);
    // Deltas that do not apply would be fetched over and over, and this VM
    // would never catch up. So it requests the full records next.
    this.#acceptsDeltas = records !== undefined;
    return records;
  }

  #handleList(value: unknown, from: string): void {
    if (getRevision(value) <= this.#membership.getList().revision) return;
    const { log } = this.#environment;
    try {
      const list = parseMembershipList(value);
      if (!this.#membership.applyList(list)) return;
      this.#rawList = value;
      this.#peerVersions.removeUnlisted();
      log.info("list_accepted", { revision: list.revision, from });
      for (const callback of this.#listCallbacks) callback(list);
      this.#announceNewVersion();
    } catch (error) {
      log.error("list_rejected", { from, error: toError(error).message });
    }
  }

  #apply(candidate: ConfigurationCandidate): void {
    const { log } = this.#environment;
    const { version, from } = candidate;
    const result = this.#store.apply(candidate);
    match(result)
      .with({ kind: "accepted" }, ({ snapshot }) => {
        log.info("configuration_accepted", { version, from });
        this.#announceSnapshot(snapshot);
      })
      .with({ kind: "conflict", isNew: true }, ({ replaced, digest }) => {
        this.#groups.clear();
        const fields = { version, from, digest, replaced };
        log.error("configuration_conflict", fields);
        const snapshot = this.#store.getSnapshot();
        if (replaced && snapshot) this.#announceSnapshot(snapshot);
      })
      .with({ kind: "rejected", isNew: true }, ({ problems }) => {
        this.#groups.clear();
        const [entry] = this.#store.listHistory().slice(-1);
        log.error("configuration_rejected", {
          version,
          from,
          problems: problems.length,
          first: entry?.problems[0],
        });
      })
      .with({ kind: "conflict" }, { kind: "rejected" }, () => {})
      .with({ kind: "same" }, { kind: "older" }, () => {})
      .exhaustive();
  }

  #announceSnapshot(snapshot: Snapshot): void {
    for (const callback of this.#snapshotCallbacks) callback(snapshot);
    this.#announceNewVersion();
  }

  #announceNewVersion(): void {
    for (const callback of this.#newVersionCallbacks) callback();
  }

  #isBehind(versions: PeerVersions): boolean {
    const own = this.#store.getVersion();
    if (versions.configVersion > own) return true;
    if (versions.listRevision > this.#membership.getList().revision) {
      return true;
    }
    // Of two contents with the same version, the greater digest wins.
    return versions.configVersion === own && own > 0 &&
      versions.configDigest !== undefined &&
      versions.configDigest > this.#store.getDigest();
  }
}
