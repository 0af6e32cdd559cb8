/**
 * Keeps the configuration and the replica list of this VM up to date, from the
 * store or from another VM that has newer ones. An older version never replaces
 * a newer one.
 *
 * @module
 */
import type { VmId } from "../../ids.ts";
import {
  buildRoutedSnapshot,
  type PublishedConfiguration,
} from "../../version/published_configuration.ts";
import type { RoutedSnapshot } from "../../version/routes.ts";
import { isNewer } from "../placement/list_position.ts";
import type { Random } from "../random.ts";
import type { Confirmation } from "./fleet_message.ts";
import type { FleetPeer } from "./fleet_peers.ts";
import { FollowedList, type FollowedListOptions } from "./followed_list.ts";
import type { LeavingNews } from "./leaving_news.ts";
import type { ListAgreement } from "./list_agreement.ts";
import type { VersionRecord } from "./list_source.ts";
import type { KnownVersions, NewerState } from "./newer_state.ts";
import type { PublishedStore } from "./published_store.ts";
import { ListVerifier } from "./list_verifier.ts";
import { RefreshWait } from "./refresh_wait.ts";
import type { Restorations } from "./restorations.ts";
import { StateFetcher } from "./state_fetcher.ts";
import { StateLag } from "./state_lag.ts";
import type { ReadState } from "./store_reader.ts";
import { StoreWatcher } from "./store_watcher.ts";

/**
 * A VM that has known of newer state for so long reads the store itself: calls to
 * other VMs take a few milliseconds, so those that it knows do not answer.
 */
const MAX_LAG_MS = 500;

/** Options of `StateFollower`. */
export interface StateFollowerOptions extends FollowedListOptions {
  vm: VmId;
  random: Random;
  store: PublishedStore;
  /** Creates a client of the store that shares nothing with another one. */
  createStore: () => PublishedStore;
  /** Fetches what another VM has beyond the two versions. */
  fetchFrom: (
    peer: FleetPeer,
    known: KnownVersions,
    options: { freshConnection: boolean },
  ) => Promise<NewerState>;
  onSnapshot: (snapshot: RoutedSnapshot) => void;
  /** Builds what a VM that takes this one's list has to know of those before. */
  buildVersionRecord: () => VersionRecord | undefined;
  /** Called when the store stops answering this VM. */
  onStoreLost: () => void;
}

/** Follows the store and peers. */
export class StateFollower {
  readonly #options: StateFollowerOptions;
  readonly #list: FollowedList;
  readonly #configurationLag: StateLag;
  readonly #verifier: ListVerifier;
  readonly #fetcher: StateFetcher;
  #configuration: PublishedConfiguration | undefined;
  #snapshot: RoutedSnapshot | undefined;
  readonly #watcher: StoreWatcher;
  readonly #refreshWait: RefreshWait;

  constructor(options: StateFollowerOptions) {
    this.#options = options;
    this.#list = FollowedList.create(options);
    this.#configurationLag = StateLag.create(options.clock, options.log);
    this.#verifier = ListVerifier.create({
      ...options,
      agreement: this.#list.agreement,
      onState: (read) => this.#applyState(read),
    });
    this.#fetcher = StateFetcher.create({
      ...options,
      isAhead: (peer) => this.#isAhead(peer),
      fetchFrom: (peer, how) => this.#fetchFrom(peer, how),
    });
    this.#watcher = StoreWatcher.create({
      ...options,
      hasState: () =>
        this.#snapshot !== undefined && options.replicas.revision > 0,
      getList: () => options.replicas.getList(),
      isViewStale: () => this.isViewStale(),
      isBehind: () => this.getLagMs() > MAX_LAG_MS,
      getListAgeMs: () => this.getListAgeMs(),
      isRetaining: () => this.#list.isRetaining,
      onState: (read) => this.#applyState(read),
      onLost: options.onStoreLost,
      onAnswered: () => this.#list.confirmation.noteAnswered(),
      onRegained: ({ calledAt, failingMs }) =>
        this.#list.noteStoreRegained({
          unansweredMs: calledAt - this.#list.confirmation.answeredAt,
          failingMs,
        }),
    });
    this.#refreshWait = RefreshWait.create({
      clock: options.clock,
      hasSnapshot: () => this.#snapshot !== undefined,
      isViewStale: () => this.isViewStale(),
      isStoreUnavailable: () => this.#watcher.isUnavailable,
      getLagMs: () => this.getLagMs(),
      checkStore: () => this.#watcher.checkNow(),
    });
  }

  static create(options: StateFollowerOptions): StateFollower {
    return new StateFollower(options);
  }

  start(): void {
    this.#watcher.start();
  }

  stop(): void {
    this.#watcher.stop();
    this.#list.stop();
    this.#verifier.stop();
  }

  /** Restorations of the store from older copies. */
  get restorations(): Restorations {
    return this.#list.restorations;
  }

  /** Leavings of replicas, for the log and other VMs. */
  get leavings(): LeavingNews {
    return this.#list.leavings;
  }

  getSnapshot(): RoutedSnapshot | undefined {
    return this.#snapshot;
  }

  /** Whether the last call to the store failed. */
  get isStoreLost(): boolean {
    return this.#watcher.isLost;
  }

  get isWatching(): boolean {
    return this.#watcher.isWatching;
  }

  /** Which other VMs have other lists at one position. */
  get agreement(): ListAgreement {
    return this.#list.agreement;
  }

  /** See `FollowedList.getAgeMs`. */
  getListAgeMs(): number {
    return this.#list.getAgeMs();
  }

  /** See `FollowedList.isStale`. */
  isViewStale(): boolean {
    return this.#list.isStale();
  }

  /** What shows other VMs when the list of this VM was the newest. */
  getConfirmation(): Confirmation | undefined {
    return this.#list.confirmation.current;
  }

  /** Time for which other VMs have had newer state; 0 if none has. */
  getLagMs(): number {
    return Math.max(this.#configurationLag.getMs(), this.#list.getLagMs());
  }

  /** Calls to other VMs for newer state that failed. */
  get failedFetches(): number {
    return this.#fetcher.failures;
  }

  /** Reads of the store because lists of other VMs differ. */
  get verifications(): number {
    return this.#verifier.count;
  }

  /** See `RefreshWait.endWaits`. */
  endWaits(): void {
    this.#refreshWait.endWaits();
  }

  /** See `RefreshWait.waitForFreshState`. */
  waitForFreshState(): Promise<void> {
    return this.#refreshWait.waitForFreshState();
  }

  /** See `RefreshWait.canUseState`. */
  canUseState(): boolean {
    return this.#refreshWait.canUseState();
  }

  /** State of this VM that is newer than `known`. */
  buildNewerState(known: KnownVersions): NewerState {
    const { replicas } = this.#options;
    const state: NewerState = {};
    const configuration = this.#configuration;
    if (configuration && configuration.version > known.configVersion) {
      state.configuration = configuration;
    }
    if (isNewer(replicas.position, known.list)) {
      state.replicas = replicas.getList();
      const versions = this.#options.buildVersionRecord();
      if (versions !== undefined) state.versions = versions;
    }
    return state;
  }

  /** Records the versions of another VM and fetches what is newer. */
  notePeer(peer: FleetPeer): void {
    const { heartbeat } = peer;
    this.#watcher.noteHeard(heartbeat.vm);
    this.#refreshWait.noteHeard();
    this.#list.noteHeartbeat(heartbeat);
    if (this.agreement.isDiffering(heartbeat.vm)) {
      this.#verifier.noteDiffering();
    }
    if (!this.#isAhead(peer)) return;
    if (this.#hasNewerConfiguration(peer)) {
      const revision = heartbeat.configVersion;
      this.#configurationLag.noteBehind({ revision });
    }
    this.#fetcher.noteAhead(peer);
  }

  /** Whether a peer has a newer configuration or list than this VM. */
  #isAhead(peer: FleetPeer): boolean {
    return this.#list.isBehind(peer.heartbeat) ||
      this.#hasNewerConfiguration(peer);
  }

  #hasNewerConfiguration({ heartbeat }: FleetPeer): boolean {
    return heartbeat.configVersion > (this.#configuration?.version ?? 0);
  }

  async #fetchFrom(
    peer: FleetPeer,
    options: { freshConnection: boolean },
  ): Promise<void> {
    const known = {
      configVersion: this.#configuration?.version ?? 0,
      list: this.#options.replicas.position,
    };
    const state = await this.#options.fetchFrom(peer, known, options);
    this.#applyNewerState(state, peer.heartbeat.vm);
  }

  #applyNewerState(state: NewerState, from: VmId): void {
    if (state.configuration) {
      this.#applyConfiguration(state.configuration, from);
    }
    const { replicas, versions } = state;
    if (replicas === undefined) return;
    this.#list.applyFetched(replicas, versions, from);
  }

  #applyState(read: ReadState): void {
    const { configuration } = read.state;
    if (configuration) {
      this.#applyConfiguration(configuration, "store");
      const version = this.#configuration?.version ?? 0;
      const isBehind = configuration.version < version;
      if (isBehind) this.restorations.noteOperatorBehind();
    }
    this.#list.applyRead(read);
  }

  #applyConfiguration(
    configuration: PublishedConfiguration,
    from: VmId | "store",
  ): void {
    if (configuration.version <= (this.#configuration?.version ?? 0)) return;
    this.#configuration = configuration;
    this.#configurationLag.noteApplied(
      { revision: configuration.version },
      from,
      this.getListAgeMs(),
    );
    this.#snapshot = buildRoutedSnapshot(configuration);
    this.#options.log.info("configuration_accepted", {
      version: configuration.version,
      from,
      routes: configuration.routes.length,
    });
    this.#options.onSnapshot(this.#snapshot);
  }
}
