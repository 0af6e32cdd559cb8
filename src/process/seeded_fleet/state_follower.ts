/**
 * Keeps this VM at the newest configuration and list of replicas, from the
 * store or from another VM that has newer ones; it never goes back.
 *
 * Reads of the store are priced and limited for the whole fleet, so a few VMs
 * watch and the others take what these hand on. A VM that hears of nobody with
 * a fresh view watches by itself until one is there again: a watcher may be cut
 * off from the store and say nothing of it but the age of what it has.
 *
 * @module
 */
import { toError } from "../../errors.ts";
import type { VmId } from "../../ids.ts";
import {
  buildRoutedSnapshot,
  type PublishedConfiguration,
} from "../../version/published.ts";
import type { RoutedSnapshot } from "../../version/routes.ts";
import type { Clock } from "../clock.ts";
import type { Log } from "../log.ts";
import type {
  ReplicaDirectory,
  ReplicaList,
} from "../placement/replica_list.ts";
import type { Random } from "../random.ts";
import { computeRendezvousOrder } from "../rendezvous.ts";
import type { FleetPeer, FleetPeers } from "./fleet_peers.ts";
import type { PublishedState, PublishedStore } from "./published_store.ts";
import { RecentlyExpired } from "./recently_expired.ts";
import { listChanges, writeChanges } from "./replica_changes.ts";
import { listEvacuations, writeEvacuations } from "./evacuation_changes.ts";

/** VMs that watch the store: two may fail without a gap. */
const WATCHERS = 3;
/** A watch waits so long for a change, in milliseconds. */
const WATCH_WAIT_MS = 1_500;
/**
 * Views older than this are taken as cut off from the store, in milliseconds:
 * a watch that lasts to its end, and half as long again.
 */
const STALE_AFTER_MS = 2_200;
/** While lapsed replicas are kept, the list is looked at again so soon. */
const LAPSED_WAIT_MS = 300;
const RETRY_MS = 250;
/**
 * While the store is away all VMs look for its return, each so many
 * milliseconds apart for each VM of the fleet: some 40 calls a second of a
 * fleet of any size. Each call is priced, and 195 VMs that all tried four times
 * a second would take half of what the store bears.
 */
const RETRY_PER_VM_MS = 25;
/** How often a VM looks whether it has to watch, in milliseconds. */
const IDLE_CHECK_MS = 200;

/** The versions that a VM has already. */
export interface KnownVersions {
  configVersion: number;
  listRevision: number;
}

/** What a VM offers that has something newer. */
export interface HandedState {
  configuration?: PublishedConfiguration;
  replicas?: ReplicaList;
}

/** What a follower needs. */
export interface StateFollowerOptions {
  vm: VmId;
  clock: Clock;
  random: Random;
  log: Log;
  store: PublishedStore;
  peers: FleetPeers;
  replicas: ReplicaDirectory;
  /** Asks another VM for what is newer than the two versions. */
  fetchFrom: (
    peer: FleetPeer,
    known: KnownVersions,
  ) => Promise<HandedState>;
  onSnapshot: (snapshot: RoutedSnapshot) => void;
  /** Hears of each newer list, also where nothing that matters differs. */
  onList: (list: ReplicaList) => void;
  /** Hears of each change, with the replicas that started again. */
  onReplicas: (restarted: readonly VmId[]) => void;
  /** Hears that the store does not answer this VM any more. */
  onStoreLost: () => void;
}

/** Follows store and peers. */
export class StateFollower {
  readonly #options: StateFollowerOptions;
  readonly #stopped = new AbortController();
  readonly #lapsed: RecentlyExpired;
  #configuration: PublishedConfiguration | undefined;
  #snapshot: RoutedSnapshot | undefined;
  #confirmedAt = -Infinity;
  #isWatching = false;
  #isFetching = false;
  /** Whether this process has read the store before. */
  #hasRead = false;
  /** `Clock.now()` of the first failure since the store answered last. */
  #lostSince: number | undefined;

  constructor(options: StateFollowerOptions) {
    this.#options = options;
    this.#lapsed = RecentlyExpired.create(options.clock);
  }

  static create(options: StateFollowerOptions): StateFollower {
    return new StateFollower(options);
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped.abort();
  }

  getSnapshot(): RoutedSnapshot | undefined {
    return this.#snapshot;
  }

  /** Whether the store did not answer this VM when it was asked last. */
  get isStoreLost(): boolean {
    return this.#lostSince !== undefined;
  }

  get isWatching(): boolean {
    return this.#isWatching;
  }

  /** How long ago the list was known to be the newest; -1 for never. */
  getListAgeMs(): number {
    const age = this.#options.clock.now() - this.#confirmedAt;
    return Number.isFinite(age) ? Math.round(age) : -1;
  }

  /** What this VM has beyond what another one knows. */
  buildHandedState(known: KnownVersions): HandedState {
    const { replicas } = this.#options;
    const state: HandedState = {};
    const configuration = this.#configuration;
    if (configuration && configuration.version > known.configVersion) {
      state.configuration = configuration;
    }
    if (replicas.revision > known.listRevision) {
      state.replicas = replicas.getList();
    }
    return state;
  }

  /** Takes in which versions another VM has, and fetches what is newer. */
  notePeer(peer: FleetPeer): void {
    const { heartbeat } = peer;
    const revision = this.#options.replicas.revision;
    if (heartbeat.listRevision === revision && heartbeat.listAgeMs >= 0) {
      const at = this.#options.clock.now() - heartbeat.listAgeMs;
      this.#confirmedAt = Math.max(this.#confirmedAt, at);
    }
    const isBehind = heartbeat.listRevision > revision ||
      heartbeat.configVersion > (this.#configuration?.version ?? 0);
    if (isBehind && !this.#isFetching) void this.#fetchFrom(peer);
  }

  async #fetchFrom(peer: FleetPeer): Promise<void> {
    this.#isFetching = true;
    try {
      const state = await this.#options.fetchFrom(peer, {
        configVersion: this.#configuration?.version ?? 0,
        listRevision: this.#options.replicas.revision,
      });
      this.#applyHanded(state, peer.heartbeat.vm);
    } catch (thrown) {
      // The next heartbeat of any VM tries again.
      this.#options.log.info("peer_fetch_failed", {
        peer: peer.heartbeat.vm,
        error: toError(thrown).message,
      });
    } finally {
      this.#isFetching = false;
    }
  }

  #applyHanded(state: HandedState, from: VmId): void {
    if (state.configuration) {
      this.#applyConfiguration(state.configuration, from);
    }
    if (state.replicas) this.#applyReplicas(state.replicas, from);
  }

  async #run(): Promise<void> {
    const { clock, random } = this.#options;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      const isNeeded = this.#isWatchNeeded();
      if (isNeeded !== this.#isWatching) {
        this.#isWatching = isNeeded;
        this.#options.log.info("store_watch", {
          watching: isNeeded,
          list_age_ms: this.getListAgeMs(),
        });
      }
      if (!isNeeded) {
        await clock.sleep(IDLE_CHECK_MS * (0.5 + random.next()), signal);
        continue;
      }
      await this.#watchOnce();
    }
  }

  /**
   * Others take the place of watchers that the store turns away: it may turn
   * away just these. To wait until all views are old would take longer than a
   * key that was taken away may go on.
   */
  #isWatchNeeded(): boolean {
    const { vm, peers, replicas } = this.#options;
    if (this.#snapshot === undefined || replicas.revision === 0) return true;
    if (this.#isViewOld()) return true;
    const vms = peers.listLive()
      .filter(({ heartbeat }) =>
        !heartbeat.isDraining && !heartbeat.isStoreLost
      )
      .map((peer) => peer.heartbeat.vm);
    const order = computeRendezvousOrder("store-watch", [vm, ...vms]);
    return order.slice(0, WATCHERS).includes(vm);
  }

  async #watchOnce(): Promise<void> {
    const { clock, random, store } = this.#options;
    try {
      const state = this.#hasRead
        ? await this.#watchState()
        : await store.fetchState();
      this.#hasRead = true;
      this.#applyState(state);
    } catch (thrown) {
      this.#noteStoreLost(toError(thrown));
      await clock.sleep(
        this.#computeRetryMs() * (0.5 + random.next()),
        this.#stopped.signal,
      );
    }
  }

  #isViewOld(): boolean {
    return this.#options.clock.now() - this.#confirmedAt > STALE_AFTER_MS;
  }

  /** One of the few watchers tries often: all others go by what it has. */
  #computeRetryMs(): number {
    if (!this.#isViewOld()) return RETRY_MS;
    const { peers } = this.#options;
    return Math.max(RETRY_MS, RETRY_PER_VM_MS * peers.listLive().length);
  }

  async #watchState(): Promise<PublishedState> {
    const { store, log } = this.#options;
    const news = await store.watch(
      this.#lapsed.isKeeping ? LAPSED_WAIT_MS : WATCH_WAIT_MS,
    );
    if (news.kind === "state") return news.state;
    log.info("store_history_lost");
    return await store.fetchState();
  }

  #noteStoreLost(error: Error): void {
    if (this.#lostSince !== undefined) return;
    this.#lostSince = this.#options.clock.now();
    this.#options.log.warn("store_lost", { error: error.message });
    // Once all views are old, each VM tries by itself, and nobody waits for
    // others to say that they cannot.
    if (!this.#isViewOld()) this.#options.onStoreLost();
  }

  #noteStoreRegained(revision: number): void {
    if (this.#lostSince === undefined) return;
    const awayMs = this.#options.clock.now() - this.#lostSince;
    this.#lostSince = undefined;
    this.#lapsed.noteReturn(awayMs);
    this.#options.log.info("store_regained", {
      revision,
      away_ms: Math.round(awayMs),
    });
  }

  #applyState(state: PublishedState): void {
    const { clock, replicas } = this.#options;
    this.#noteStoreRegained(state.revision);
    if (state.configuration) {
      this.#applyConfiguration(state.configuration, "store");
    }
    const list = this.#lapsed.apply(state.replicas, replicas.getList());
    this.#applyReplicas(list, "store");
    if (replicas.revision === list.revision) this.#confirmedAt = clock.now();
  }

  #applyConfiguration(
    configuration: PublishedConfiguration,
    from: string,
  ): void {
    if (configuration.version <= (this.#configuration?.version ?? 0)) return;
    this.#configuration = configuration;
    this.#snapshot = buildRoutedSnapshot(configuration);
    this.#options.log.info("configuration_accepted", {
      version: configuration.version,
      from,
      routes: configuration.routes.length,
    });
    this.#options.onSnapshot(this.#snapshot);
  }

  #applyReplicas(list: ReplicaList, from: string): void {
    const { replicas, log } = this.#options;
    const before = replicas.getList();
    if (!replicas.apply(list)) return;
    const after = replicas.getList();
    this.#options.onList(after);
    const changes = listChanges(before, after);
    const evacuations = listEvacuations(before, after);
    if (changes.length + evacuations.length === 0) return;
    writeEvacuations(log, evacuations, { list, from });
    writeChanges(log, changes, { list, from, isFirst: before.revision === 0 });
    const restarted = changes.filter(({ change }) => change === "restarted");
    this.#options.onReplicas(restarted.map(({ replica }) => replica));
  }
}
