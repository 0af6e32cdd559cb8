/**
 * A routed VM's side of its fleet: heartbeats, configuration, replicas, caches.
 *
 * @module
 */
import { parseEndpoint, type SocketAddress } from "../connection/endpoint.ts";
import type {
  HttpTransportOptions,
  HttpUpstreamTransport,
} from "../connection/http_transport.ts";
import type { Incarnation, PoolName, VmId } from "../ids.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import { OwnedPlacement } from "./owned_placement.ts";
import {
  type Locality,
  type OwnerDecision,
  type PlacementRequest,
  type PlacementRole,
  type PlacementState,
  PrefixPriming,
  type ReplicaDirectory,
} from "./placement/index.ts";
import {
  type RequestQuarantine,
  type SuspectEntry,
  SuspectGossip,
} from "./quarantine/index.ts";
import type { Random } from "./random.ts";
import { pickRendezvousFirst } from "./rendezvous.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import {
  type DatagramLink,
  FleetHeartbeats,
  type FleetMember,
  type FleetPeer,
  type HeartbeatContent,
  PeerCalls,
  type PublishedStore,
  StateFollower,
} from "./seeded_fleet/index.ts";

/** What the fleet's side is made of. */
export interface RoutedFleetOptions {
  incarnation: Incarnation;
  clock: Clock;
  random: Random;
  log: Log;
  link: DatagramLink;
  store: PublishedStore;
  replicas: ReplicaDirectory;
  locality: Locality;
  placement: PlacementState;
  quarantine: RequestQuarantine;
  getSettings: () => RoutedSettings;
  createTransport: (
    findAddress: HttpTransportOptions["findAddress"],
  ) => HttpUpstreamTransport;
  fetchCachedParts: (replica: VmId) => Promise<string[]>;
  isServing: () => boolean;
  isDraining: () => boolean;
  /** Hears of replicas that started again under their ids. */
  onRestarted: (replicas: readonly VmId[]) => void;
  onSnapshot: (snapshot: RoutedSnapshot) => void;
}

/** Everything between this VM and the others, and the store. */
export class RoutedFleet {
  readonly follower: StateFollower;
  readonly #options: RoutedFleetOptions;
  readonly #heartbeats: FleetHeartbeats;
  readonly #peers: HttpUpstreamTransport;
  readonly #priming: PrefixPriming;
  readonly #owned: OwnedPlacement;
  readonly #suspects: SuspectGossip<FleetPeer>;
  readonly #ended = new AbortController();

  constructor(options: RoutedFleetOptions) {
    const { clock, log, link, random, replicas } = options;
    const { address, peerPort, vm } = options.getSettings();
    this.#options = options;
    this.#peers = options.createTransport((peer) => this.#findPeer(peer));
    const calls = PeerCalls.create(this.#peers);
    this.#heartbeats = FleetHeartbeats.create({
      vm,
      clock,
      random,
      log,
      link,
      self: `${address}:${peerPort}`,
      getSeeds: () => this.#listSeeds(),
      buildHeartbeat: () => this.#buildHeartbeat(),
      takeWork: () => this.#owned.takeWork(),
      listOwners: () => this.#owned.listOwners(),
      onHeartbeat: (peer) => this.#notePeer(peer),
      onSuspects: (entries, from) =>
        options.quarantine.mergeEntries(from, entries),
      listSuspects: () => this.#suspects.listTopSuspects(),
      onAsk: (ask) => this.#owned.answerAsk(ask),
      onAnswer: (answer) => this.#owned.noteAnswer(answer),
    });
    this.#owned = OwnedPlacement.create({
      ...options,
      vm,
      peers: this.#heartbeats.peers,
      hasSeeds: () => this.#hasOtherSeeds(),
      getSelf: () => this.#buildMember(),
      send: (to, message) => this.#heartbeats.send(to, message),
    });
    this.#suspects = SuspectGossip.create({
      clock,
      random,
      listPeers: () => this.listLive(),
      send: (to, entries) => this.#heartbeats.sendSuspects(to, entries),
      listEntries: (count) => options.quarantine.listEntries(count),
    });
    this.follower = StateFollower.create({
      vm,
      clock,
      random,
      log,
      store: options.store,
      peers: this.#heartbeats.peers,
      replicas,
      fetchFrom: ({ heartbeat }, known) =>
        calls.fetchState(heartbeat.vm, known),
      onSnapshot: (snapshot) => {
        options.onSnapshot(snapshot);
        this.#heartbeats.announceState();
      },
      onList: (list) => options.placement.slowStart.noteList(list),
      onReplicas: (restarted) => this.#noteReplicas(restarted),
      onStoreLost: () => this.#heartbeats.announceAtOnce(),
    });
    this.#priming = this.#createPriming(calls);
  }

  static create(options: RoutedFleetOptions): RoutedFleet {
    return new RoutedFleet(options);
  }

  start(): void {
    this.follower.start();
    this.#heartbeats.start();
    this.#suspects.start();
    void this.#priming.run(this.#ended.signal);
  }

  stop(): void {
    this.#ended.abort();
    this.follower.stop();
    this.#heartbeats.stop();
    this.#suspects.stop();
    this.#options.link.close();
    this.#peers.close();
  }

  /** Other VMs that are heard. */
  listLive(): FleetPeer[] {
    return this.#heartbeats.peers.listLive();
  }

  /** As `OwnedPlacement.askOwner`. */
  askOwner(request: PlacementRequest): Promise<OwnerDecision> {
    return this.#owned.askOwner(request);
  }

  /** As `OwnedPlacement.getShare`. */
  getShare(pool: PoolName): PlacementRole {
    return this.#owned.getShare(pool);
  }

  /** Tells the others soon that there is news of this VM's work. */
  announceNews(): void {
    this.#heartbeats.announceNews();
  }

  /** Tells the others of evidence against requests. */
  announceSuspects(entries: readonly SuspectEntry[]): void {
    this.#suspects.announce(entries);
  }

  /** Tells the others at once what callers depend on. */
  announceAtOnce(): void {
    this.#heartbeats.announceAtOnce();
  }

  /** Seeds are named by where they listen for state, not for heartbeats. */
  #listSeeds(): string[] {
    const { seeds, peerPort } = this.#options.getSettings();
    return seeds.map((seed) => `${parseEndpoint(seed).address}:${peerPort}`);
  }

  #hasOtherSeeds(): boolean {
    const { address, peerPort } = this.#options.getSettings();
    return this.#listSeeds().some((seed) => seed !== `${address}:${peerPort}`);
  }

  #buildHeartbeat(): HeartbeatContent {
    const { getSettings, replicas } = this.#options;
    const { vm, dataCentre, listeners, cores } = getSettings();
    return {
      vm,
      incarnation: this.#options.incarnation,
      dataCentre,
      callers: listeners.callers,
      state: listeners.state,
      isServing: this.#options.isServing(),
      isDraining: this.#options.isDraining(),
      isPrimed: this.#priming.isPrimed,
      configVersion: this.follower.getSnapshot()?.version ?? 0,
      listRevision: replicas.revision,
      listAgeMs: this.follower.getListAgeMs(),
      isStoreLost: this.follower.isStoreLost,
      cores,
    };
  }

  #buildMember(): FleetMember {
    const { getSettings, isServing, isDraining } = this.#options;
    const { vm, cores } = getSettings();
    const { isPrimed } = this.#priming;
    return {
      vm,
      cores,
      isPrimed,
      isServing: isServing(),
      isDraining: isDraining(),
    };
  }

  #notePeer(peer: FleetPeer): void {
    const { vm, work } = peer.heartbeat;
    if (work === undefined) this.#owned.noteAlive(vm);
    else this.#owned.noteWork(vm, work);
    this.follower.notePeer(peer);
  }

  /**
   * A replica that started again holds nothing, and nothing that was seen of
   * it before tells of it: prompts would be sent there for parts that it lost.
   */
  #noteReplicas(restarted: readonly VmId[]): void {
    const { placement, replicas, onRestarted } = this.#options;
    placement.dropUnlisted((id) => replicas.find(id) !== undefined);
    restarted.forEach((id) => placement.dropReplica(id));
    if (restarted.length > 0) onRestarted(restarted);
    this.#heartbeats.announceState();
  }

  #createPriming(calls: PeerCalls): PrefixPriming {
    const { clock, log, placement, fetchCachedParts } = this.#options;
    return PrefixPriming.create({
      clock,
      log,
      prefixes: placement.prefixes,
      sources: {
        listPrimedPeers: () => this.#listVms((heartbeat) => heartbeat.isPrimed),
        fetchFromPeer: (vm) => calls.fetchPrefixes(vm),
        listReplicas: () => this.#listModelReplicas(),
        fetchFromReplica: fetchCachedParts,
        isResponsible: () => this.#isFirst("prefixes"),
      },
    });
  }

  #isFirst(duty: string): boolean {
    const { vm } = this.#options.getSettings();
    const vms = [vm, ...this.#listVms((heartbeat) => !heartbeat.isDraining)];
    return pickRendezvousFirst(duty, vms) === vm;
  }

  #listVms(isWanted: (heartbeat: FleetPeer["heartbeat"]) => boolean): VmId[] {
    return this.listLive().filter(({ heartbeat }) => isWanted(heartbeat))
      .map(({ heartbeat }) => heartbeat.vm);
  }

  #listModelReplicas(): VmId[] {
    const pools = [...this.follower.getSnapshot()?.pools.values() ?? []];
    return pools.filter(({ type }) => type === "model")
      .flatMap(({ name }) => this.#options.replicas.listReady(name))
      .map(({ id }) => id);
  }

  #findPeer(vm: VmId): SocketAddress | undefined {
    const peer = this.#heartbeats.peers.find(vm);
    return peer && parseEndpoint(peer.heartbeat.state);
  }
}
