/**
 * Keeps this VM at the newest accepted configuration and membership list.
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
  PeerVersionBook,
  type PeerVersionEntry,
} from "./configuration_peers.ts";
import { PeerPuller } from "./configuration_puller.ts";
import { SourceReader } from "./configuration_reader.ts";
import {
  type ConfigurationSource,
  getRevision,
} from "./configuration_source.ts";
import {
  ConfigurationStore,
  type Offer,
  type VersionEntry,
  type VersionOrigin,
} from "./configuration_store.ts";
import type { Environment } from "./environment.ts";
import type { FleetMembership } from "./fleet_membership.ts";
import type { SnapshotAnswer, SnapshotCall } from "./peer_api.ts";

/** What a follower needs. */
export interface FollowerOptions {
  environment: Environment;
  source: ConfigurationSource;
  membership: FleetMembership;
  /** VMs to ask first after a start, before any list is known. */
  seeds: readonly VmId[];
  /** How decisions name the source. */
  sourceName?: string;
}

/** Which version this VM has, since when and from whom, and the others. */
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
  /** The latest decisions, oldest first. */
  history: VersionEntry[];
  peers: PeerVersionEntry[];
}

/** Follows the source and the peers; only ever goes forward. */
export class ConfigurationFollower extends VersionExchange {
  readonly #environment: Environment;
  readonly #membership: FleetMembership;
  readonly #store: ConfigurationStore;
  readonly #groups: ConfigurationGroups;
  readonly #reader: SourceReader;
  readonly #puller: PeerPuller;
  readonly #sourceName: string;
  readonly #peers: PeerVersionBook;
  readonly #snapshotCallbacks: ((snapshot: Snapshot) => void)[] = [];
  readonly #listCallbacks: ((list: MembershipList) => void)[] = [];
  readonly #newVersionCallbacks: (() => void)[] = [];
  #rawList: unknown | undefined;
  /** False once steps did not fit, until records were taken in. */
  #takesSteps = true;

  constructor(options: FollowerOptions) {
    super();
    const { environment, source, membership, seeds } = options;
    this.#environment = environment;
    this.#membership = membership;
    this.#sourceName = options.sourceName ?? "service";
    this.#store = ConfigurationStore.create(environment.clock);
    this.#peers = PeerVersionBook.create({ environment, membership });
    this.#groups = ConfigurationGroups.create(source);
    this.#puller = PeerPuller.create({
      environment,
      membership,
      seeds,
      getVersions: () => this.getVersions(),
      takesSteps: () => this.#takesSteps,
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

  /** Starts the task: peers first, then the source, then both for good. */
  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#reader.stop();
    this.#puller.stop();
  }

  /** The configuration in force; undefined before the first. */
  getSnapshot(): Snapshot | undefined {
    return this.#store.getSnapshot();
  }

  /** The membership list in force. */
  getList(): MembershipList {
    return this.#membership.getList();
  }

  /** Whether there is a configuration to serve by. */
  isReady(): boolean {
    return this.#store.getSnapshot() !== undefined;
  }

  /** Calls `callback` with each configuration that comes into force. */
  onSnapshot(callback: (snapshot: Snapshot) => void): void {
    this.#snapshotCallbacks.push(callback);
  }

  /** Calls `callback` with each membership list that comes into force. */
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
    this.#peers.note(vm, versions);
    if (versions.listAgeMs !== undefined) {
      const isFresher = this.#membership.noteListCurrent(
        versions.listRevision,
        versions.listAgeMs,
      );
      if (isFresher) this.#reader.noteOtherRead();
    }
    if (this.#isBehind(versions)) await this.#puller.fetchFrom(vm);
  }

  /** Hands on what this VM has and the asker has not. */
  answerSnapshot(call: SnapshotCall): SnapshotAnswer {
    const version = this.#store.getVersion();
    const isConflict = call.after === version && call.digest !== undefined &&
      call.digest !== this.#store.getDigest();
    const isNewer = version > call.after || isConflict;
    const listRevision = this.#membership.getList().revision;
    const steps = isNewer && call.takesSteps === true
      ? this.#store.listDeltas(call.digest ?? "")
      : undefined;
    return {
      version,
      records: isNewer && !steps ? this.#store.getRecords() : undefined,
      ...(steps && { steps }),
      list: listRevision > call.listAfter ? this.#rawList : undefined,
    };
  }

  /** Which VM has which version, since when and from whom. */
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
      peers: this.#peers.list(),
    };
  }

  async #run(): Promise<void> {
    // A service that went back to an older state would give this VM, whose
    // memory is gone, a version that the fleet has left long ago. Peers know.
    await this.#puller.fetchFirst();
    if (!this.isReady()) {
      await this.#reader.readListFirst();
      await this.#puller.fetchFirst();
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
      if (Array.isArray(answer.records)) this.#takesSteps = true;
      return answer.records;
    }
    const records = this.#store.buildRecords(answer.steps);
    // Steps that do not fit would be fetched again and again, and this VM
    // would stay behind for good; the whole records settle it.
    this.#takesSteps = records !== undefined;
    return records;
  }

  #handleList(value: unknown, from: string): void {
    if (getRevision(value) <= this.#membership.getList().revision) return;
    const { log } = this.#environment;
    try {
      const list = parseMembershipList(value);
      if (!this.#membership.applyList(list)) return;
      this.#rawList = value;
      this.#peers.removeUnlisted();
      log.info("list_accepted", { revision: list.revision, from });
      for (const callback of this.#listCallbacks) callback(list);
      this.#announceNewVersion();
    } catch (error) {
      log.error("list_rejected", { from, error: toError(error).message });
    }
  }

  #apply(offer: Offer): void {
    const { log } = this.#environment;
    const { version, from } = offer;
    const result = this.#store.apply(offer);
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
    // Of two contents under one version the greater digest wins.
    return versions.configVersion === own && own > 0 &&
      versions.configDigest !== undefined &&
      versions.configDigest > this.#store.getDigest();
  }
}
