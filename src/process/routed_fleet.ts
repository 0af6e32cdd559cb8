/**
 * Connects a routed VM to its fleet: heartbeats, configuration, replica list
 * and prefix caches.
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
import { RequestForwarding } from "./forwarding/index.ts";
import type { Log } from "./log.ts";
import { OwnedPlacement } from "./owned_placement.ts";
import {
  type Locality,
  type OwnerDecision,
  type PlacementRequest,
  type PlacementRole,
  type PlacementState,
  type PrefixPriming,
  type ReplicaDirectory,
  type WaitOptions,
} from "./placement/index.ts";
import {
  type CrashNews,
  NewsQueries,
  type RequestQuarantine,
  SuspectGossip,
} from "./quarantine/index.ts";
import type { Random } from "./random.ts";
import { createRoutedPriming } from "./routed_priming.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import {
  DatagramCounts,
  type DatagramLink,
  FleetHeartbeats,
  type FleetMember,
  type FleetPeer,
  type HeartbeatContent,
  type KeptNews,
  PeerCalls,
  type PublishedStore,
  StateFollower,
} from "./seeded_fleet/index.ts";
import { StreamOrigins } from "./stream_origins/index.ts";

/** Origins of streams are remembered for this time at least. */
const MIN_RETENTION_MS = 30_000;
/** Keeps a heartbeat in one packet. */
const MAX_TOLD_LEAVING = 24;

/** Options of `RoutedFleet`. */
export interface RoutedFleetOptions {
  incarnation: Incarnation;
  clock: Clock;
  random: Random;
  log: Log;
  link: DatagramLink;
  store: PublishedStore;
  /** See `StateFollowerOptions`. */
  createStore: () => PublishedStore;
  replicas: ReplicaDirectory;
  locality: Locality;
  placement: PlacementState;
  quarantine: RequestQuarantine;
  getSettings: () => RoutedSettings;
  createTransport: (
    findAddress: HttpTransportOptions["findAddress"],
    options?: Partial<HttpTransportOptions>,
  ) => HttpUpstreamTransport;
  fetchCachedParts: (replica: VmId) => Promise<string[]>;
  isServing: () => boolean;
  isDraining: () => boolean;
  /** Called with replicas that restarted under the same id. */
  onRestarted: (replicas: readonly VmId[]) => void;
  onSnapshot: (snapshot: RoutedSnapshot) => void;
}

/** Everything between this VM, the other VMs and the store. */
export class RoutedFleet {
  readonly follower: StateFollower;
  readonly datagrams: DatagramCounts;
  readonly streamOrigins: StreamOrigins;
  readonly #options: RoutedFleetOptions;
  readonly #heartbeats: FleetHeartbeats;
  readonly #peerTransport: HttpUpstreamTransport;
  readonly #calls: PeerCalls;
  readonly #forwardTransport: HttpUpstreamTransport;
  readonly #forwarding: RequestForwarding;
  readonly #priming: PrefixPriming;
  readonly #ownedPlacement: OwnedPlacement;
  readonly #suspectGossip: SuspectGossip<FleetPeer>;
  readonly #newsQueries: NewsQueries<FleetPeer>;
  readonly #ended = new AbortController();

  constructor(options: RoutedFleetOptions) {
    const { clock, log, link, random, replicas } = options;
    const { address, peerPort, vm, entryRenewalMs } = options.getSettings();
    this.#options = options;
    this.datagrams = DatagramCounts.create(options);
    this.#peerTransport = options.createTransport((peer) =>
      this.#findPeer(peer)
    );
    const calls = PeerCalls.create(this.#peerTransport);
    this.#calls = calls;
    this.#heartbeats = FleetHeartbeats.create({
      vm,
      clock,
      random,
      log,
      link,
      self: `${address}:${peerPort}`,
      getSeeds: () => this.#listSeeds(),
      buildHeartbeat: () => this.#buildHeartbeat(),
      hasRecentWaits: () => this.#ownedPlacement.hasRecentWaits(),
      takeWorkUpdates: () => this.#ownedPlacement.takeWorkUpdates(),
      listOwners: () => this.#ownedPlacement.listOwners(),
      onHeartbeat: (peer) => this.#notePeer(peer),
      onSuspects: (news, from) => options.quarantine.mergeNews(from, news),
      listSuspects: () => this.#suspectGossip.listTopSuspects(),
      onNewsAnswer: () => this.#newsQueries.noteAnswer(),
      onPlacementRequest: (request) =>
        this.#ownedPlacement.answerRequest(request),
      onPlacementAnswer: (answer) => this.#ownedPlacement.noteAnswer(answer),
      onOrigin: (origin) => this.streamOrigins.noteAnnounced(origin),
      onOriginQuery: (query) => this.streamOrigins.answerQuery(query),
      onOriginAnswer: (answer) => this.streamOrigins.noteAnswer(answer),
    });
    this.#ownedPlacement = OwnedPlacement.create({
      ...options,
      vm,
      peers: this.#heartbeats.peers,
      maxWaitingRequests: options.getSettings().maxWaitingRequests,
      hasSeeds: () => this.#hasOtherSeeds(),
      getSelf: () => this.#buildMember(),
      send: (to, message) => this.#heartbeats.send(to, message),
    });
    this.streamOrigins = StreamOrigins.create({
      vm,
      clock,
      listPeers: () => this.listLive(),
      send: (to, message) => this.#heartbeats.send(to, message),
      getListAgeMs: () => this.follower.getListAgeMs(),
      getRetentionMs: () => this.#computeStreamRetentionMs(),
    });
    this.#forwardTransport = options.createTransport(
      (peer) => this.#findForwardAddress(peer),
      { allowsCloseDelimited: true, localAddress: address },
    );
    this.#forwarding = RequestForwarding.create({
      random,
      links: options.placement.links,
      transport: this.#forwardTransport,
      listLive: () => this.listLive(),
      getConfigVersion: () => this.follower.getSnapshot()?.version ?? 0,
    });
    this.#suspectGossip = SuspectGossip.create({
      clock,
      random,
      listPeers: () => this.listLive(),
      send: (to, news) => this.#heartbeats.sendSuspects(to, news),
      listNews: (count) => options.quarantine.listNews(count),
    });
    this.#newsQueries = NewsQueries.create({
      clock,
      random,
      listPeers: () => this.listLive(),
      send: (to) => this.#heartbeats.send(to, { kind: "news_query" }),
    });
    this.follower = StateFollower.create({
      vm,
      incarnation: options.incarnation,
      clock,
      random,
      log,
      store: options.store,
      createStore: options.createStore,
      peers: this.#heartbeats.peers,
      replicas,
      entryRenewalMs,
      fetchFrom: ({ heartbeat }, known, how) =>
        calls.fetchState(heartbeat.vm, known, how),
      onSnapshot: (snapshot) => {
        options.onSnapshot(snapshot);
        this.#heartbeats.announceState();
      },
      onList: (list, source) => {
        options.placement.slowStart.noteList(list);
        this.streamOrigins.noteList(list, source);
      },
      buildVersionRecord: () => this.streamOrigins.buildVersionRecord(),
      onReplicas: (restarted) => this.#noteReplicas(restarted),
      onStoreLost: () => this.#heartbeats.announceNow(),
      findLastSend: (replica) => options.placement.lastSends.find(replica),
    });
    this.#priming = createRoutedPriming({
      ...options,
      vm,
      calls,
      listLive: () => this.listLive(),
      getSnapshot: () => this.follower.getSnapshot(),
    });
  }

  static create(options: RoutedFleetOptions): RoutedFleet {
    return new RoutedFleet(options);
  }

  start(): void {
    this.follower.start();
    this.#heartbeats.start();
    this.datagrams.start();
    this.#suspectGossip.start();
    if (this.#hasOtherSeeds()) this.#newsQueries.start();
    void this.#priming.run(this.#ended.signal);
  }

  stop(): void {
    this.#ended.abort();
    this.follower.stop();
    this.#heartbeats.stop();
    this.datagrams.stop();
    this.#ownedPlacement.stop();
    this.#suspectGossip.stop();
    this.#options.link.close();
    this.#peerTransport.close();
    this.#forwardTransport.close();
  }

  /** Other VMs that are live. */
  listLive(): FleetPeer[] {
    return this.#heartbeats.peers.listLive();
  }

  /**
   * Resolves once this VM has the newest configuration and evidence of crashes,
   * as far as it can tell.
   */
  async waitForFreshState(): Promise<void> {
    await this.follower.waitForFreshState();
    await this.#newsQueries.waitForAnswer();
  }

  /** Whether `vm` reaches a replica; rejects with `StepError`. */
  fetchReach(vm: VmId, replica: VmId): Promise<boolean> {
    return this.#calls.fetchReach(vm, replica);
  }

  /** Requests that are passed on to other VMs. */
  get forwarding(): RequestForwarding {
    return this.#forwarding;
  }

  /** Whether a VM of the fleet has this IP address. */
  isPeerAddress(address: string): boolean {
    return this.listLive().some(({ endpoint }) =>
      parseEndpoint(endpoint).address === address
    );
  }

  /** See `OwnedPlacement.fetchPlacement`. */
  fetchPlacement(
    request: PlacementRequest,
    wait: WaitOptions,
  ): Promise<OwnerDecision> {
    return this.#ownedPlacement.fetchPlacement(request, wait);
  }

  /** See `OwnedPlacement.waiting`. */
  get waiting(): OwnedPlacement["waiting"] {
    return this.#ownedPlacement.waiting;
  }

  /** See `OwnedPlacement.getRole`. */
  getRole(pool: PoolName): PlacementRole {
    return this.#ownedPlacement.getRole(pool);
  }

  /** Schedules an update of this VM's work for the other VMs. */
  announceWork(): void {
    this.#heartbeats.announceWork();
  }

  /** Sends evidence about crashes to the other VMs. */
  announceSuspects(news: CrashNews): void {
    this.#suspectGossip.announce(news);
  }

  /**
   * Sends a heartbeat to all VMs at once, for changes that callers depend on.
   */
  announceNow(): void {
    this.#heartbeats.announceNow();
  }

  /**
   * Datagram endpoints of the seeds; the settings list their state endpoints.
   */
  #listSeeds(): string[] {
    const { seeds, peerPort } = this.#options.getSettings();
    return seeds.map((seed) => `${parseEndpoint(seed).address}:${peerPort}`);
  }

  /**
   * A stream may be taken up until the deadline of the request that brought its
   * first event, and go on for as long again.
   */
  #computeStreamRetentionMs(): number {
    const classes = this.follower.getSnapshot()?.classes.values() ?? [];
    const longest = [...classes].map(({ targets }) => targets.totalMs);
    return Math.max(MIN_RETENTION_MS, 2 * Math.max(0, ...longest));
  }

  #hasOtherSeeds(): boolean {
    const { address, peerPort } = this.#options.getSettings();
    return this.#listSeeds().some((seed) => seed !== `${address}:${peerPort}`);
  }

  #buildHeartbeat(): HeartbeatContent {
    const { getSettings, replicas, placement } = this.#options;
    const lostPools = placement.links.listLost();
    const left = this.follower.leavings.listRecent();
    const leaving = replicas.listLeaving().slice(0, MAX_TOLD_LEAVING);
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
      listEra: replicas.position.era,
      listDigest: this.follower.agreement.digest,
      listAgeMs: this.follower.getListAgeMs(),
      isStoreLost: this.follower.isStoreLost,
      cores,
      confirmed: this.follower.getConfirmation(),
      ...(lostPools.length === 0 ? {} : { lostPools }),
      ...(left.length === 0 ? {} : { left }),
      ...(leaving.length === 0 ? {} : { leaving }),
      ...this.#buildKeptFields(),
    };
  }

  /** Some of what this VM keeps of an earlier era, others each time. */
  #buildKeptFields(): KeptNews {
    const { random } = this.#options;
    const { withheld, keptEvacuations } = this.follower.restorations
      .buildNews();
    const some = random.toShuffled(withheld).slice(0, MAX_TOLD_LEAVING);
    return {
      ...(some.length === 0 ? {} : { withheld: some }),
      ...(keptEvacuations.length === 0 ? {} : { keptEvacuations }),
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
    const { vm, work, leaving = [], listEra } = peer.heartbeat;
    this.#newsQueries.notePeer();
    this.#options.replicas.notePeerLeaving(leaving, listEra);
    if (work === undefined) this.#ownedPlacement.noteAlive(vm);
    else this.#ownedPlacement.applyWork(peer.heartbeat, work);
    this.follower.notePeer(peer);
  }

  /**
   * Drops what is known of unlisted and restarted replicas. The caches of
   * restarted ones are empty; without this, prompts would be sent there for
   * prefixes that they no longer have.
   */
  #noteReplicas(restarted: readonly VmId[]): void {
    const { placement, replicas, onRestarted } = this.#options;
    placement.unanswered.noteLeavings((id) => replicas.hasLeft(id));
    placement.dropUnlisted((id) => replicas.find(id) !== undefined);
    restarted.forEach((id) => placement.dropReplica(id));
    if (restarted.length > 0) onRestarted(restarted);
    this.#heartbeats.announceState();
  }

  /** VMs accept requests that are passed on at the port for datagrams. */
  #findForwardAddress(vm: VmId): SocketAddress | undefined {
    const peer = this.#heartbeats.peers.find(vm);
    return peer && parseEndpoint(peer.endpoint);
  }

  #findPeer(vm: VmId): SocketAddress | undefined {
    const peer = this.#heartbeats.peers.find(vm);
    return peer && parseEndpoint(peer.heartbeat.state);
  }
}
