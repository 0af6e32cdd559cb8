/**
 * A routed VM's side of its fleet: talk, configuration, replicas, caches.
 *
 * @module
 */
import { parseEndpoint } from "../connection/endpoint.ts";
import type { HttpUpstreamTransport } from "../connection/http_transport.ts";
import type { Incarnation, PoolName, VmId } from "../ids.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import type { Clock } from "./clock.ts";
import type { Log } from "./log.ts";
import {
  type Placement,
  type PlacementRequest,
  type PlacementState,
  PrefixPriming,
  ReplicaChooser,
  type ReplicaDirectory,
} from "./placement/index.ts";
import type { Random } from "./random.ts";
import { pickRendezvousFirst } from "./rendezvous.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import {
  type AnswerMessage,
  type AskMessage,
  type BeatContent,
  type DatagramLink,
  findDuty,
  type FleetPeer,
  FleetTalk,
  type FleetWork,
  isSmallFleet,
  listDuties,
  listPlacersOf,
  type OwnerCandidate,
  PeerCalls,
  PlacementAsker,
  type PublishedStore,
  StateFollower,
} from "./seeded_fleet/index.ts";

/** Finds where a call goes; undefined where that is not known. */
type FindAddress = (
  vm: VmId,
) => { address: string; port: number } | undefined;

/** What the fleet's side is made of. */
export interface RoutedFleetOptions {
  incarnation: Incarnation;
  clock: Clock;
  random: Random;
  log: Log;
  link: DatagramLink;
  store: PublishedStore;
  replicas: ReplicaDirectory;
  placement: PlacementState;
  getSettings: () => RoutedSettings;
  createTransport: (findAddress: FindAddress) => HttpUpstreamTransport;
  fetchCachedParts: (replica: VmId) => Promise<string[]>;
  isServing: () => boolean;
  isDraining: () => boolean;
  onSnapshot: (snapshot: RoutedSnapshot) => void;
}

/** Everything between this VM and the others, and the store. */
export class RoutedFleet {
  readonly follower: StateFollower;
  readonly #options: RoutedFleetOptions;
  readonly #talk: FleetTalk;
  readonly #peers: HttpUpstreamTransport;
  readonly #priming: PrefixPriming;
  readonly #asker: PlacementAsker;
  readonly #chooser: ReplicaChooser;
  readonly #ended = new AbortController();

  constructor(options: RoutedFleetOptions) {
    const { clock, log, link, random, replicas } = options;
    const { address, peerPort, vm } = options.getSettings();
    this.#options = options;
    this.#peers = options.createTransport((peer) => this.#findPeer(peer));
    const calls = PeerCalls.create(this.#peers);
    this.#talk = FleetTalk.create({
      vm,
      clock,
      random,
      log,
      link,
      self: `${address}:${peerPort}`,
      getSeeds: () => this.#listSeeds(),
      buildBeat: () => this.#buildBeat(),
      takeWork: () => this.#takeWork(),
      listPlacers: () => this.#listAllPlacers(),
      onBeat: (peer) => this.#notePeer(peer),
      onAsk: (ask) => this.#answerAsk(ask),
      onAnswer: (answer) => this.#asker.noteAnswer(answer),
    });
    this.#chooser = ReplicaChooser.create(replicas, options.placement);
    this.#asker = PlacementAsker.create({
      vm,
      clock,
      log,
      listPlacers: (pool) => this.#listPlacersBefore(pool),
      send: (to, message) => this.#talk.send(to, message),
    });
    this.follower = StateFollower.create({
      vm,
      clock,
      random,
      log,
      store: options.store,
      peers: this.#talk.peers,
      replicas,
      fetchFrom: ({ beat }, known) => calls.fetchState(beat.vm, known),
      onSnapshot: (snapshot) => {
        options.onSnapshot(snapshot);
        this.#talk.announceState();
      },
      onReplicas: () => this.#noteReplicas(),
      onStoreLost: () => this.#talk.announceAtOnce(),
    });
    this.#priming = this.#createPriming(calls);
  }

  static create(options: RoutedFleetOptions): RoutedFleet {
    return new RoutedFleet(options);
  }

  start(): void {
    this.follower.start();
    this.#talk.start();
    void this.#priming.run(this.#ended.signal);
  }

  stop(): void {
    this.#ended.abort();
    this.follower.stop();
    this.#talk.stop();
    this.#options.link.close();
    this.#peers.close();
  }

  /** Other VMs that are heard. */
  listLive(): FleetPeer[] {
    return this.#talk.peers.listLive();
  }

  /**
   * Asks the pool's owner where a request should go. Undefined where this VM
   * is the owner, where there is none, and where it is silent.
   */
  async askOwner(request: PlacementRequest): Promise<Placement | undefined> {
    if (this.#isSmall()) return undefined;
    const placed = await this.#asker.ask(request);
    if (placed === undefined) return undefined;
    const { replicas } = this.#options;
    const replica = replicas.find(placed.replica);
    // One VM may have read of a replica that comes or leaves before another.
    if (replica === undefined || !replicas.isReady(replica.id)) {
      return undefined;
    }
    return { ...placed, replica };
  }

  /** Tells the others soon that there is news of this VM's work. */
  announceNews(): void {
    this.#talk.announceNews();
  }

  /** Tells the others at once what callers depend on. */
  announceAtOnce(): void {
    this.#talk.announceAtOnce();
  }

  /** Seeds are named by where they listen for state; talk has its own port. */
  #listSeeds(): string[] {
    const { seeds, peerPort } = this.#options.getSettings();
    return seeds.map((seed) => `${parseEndpoint(seed).address}:${peerPort}`);
  }

  #buildBeat(): BeatContent {
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

  #takeWork(): FleetWork {
    return { ...this.#options.placement.takeNews(), ...this.#asker.numbers };
  }

  #notePeer(peer: FleetPeer): void {
    const { vm, work } = peer.beat;
    if (work !== undefined) this.#noteWork(vm, work);
    this.follower.notePeer(peer);
  }

  #noteWork(vm: VmId, work: FleetWork): void {
    const { placement } = this.#options;
    placement.loads.answered.settle(vm, work.lastAsk, work.openAsks);
    placement.noteNews(vm, work);
  }

  #answerAsk(message: AskMessage): AnswerMessage {
    const { vm, ask } = message;
    const placement = this.#chooser.chooseFor(vm, ask, message);
    if (placement === undefined) return { kind: "answer", ask };
    const { replica, ...placed } = placement;
    return { kind: "answer", ask, placed: { ...placed, replica: replica.id } };
  }

  #isSmall(): boolean {
    return isSmallFleet(1 + this.listLive().length);
  }

  /** Everybody who places requests of any pool; undefined for all VMs. */
  #listAllPlacers(): Set<VmId> | undefined {
    if (this.#isSmall()) return undefined;
    const candidates = this.#listCandidates();
    const placers = this.#listDuties()
      .flatMap((duty) => listPlacersOf(duty, candidates));
    return new Set(placers);
  }

  #listDuties(): string[] {
    return listDuties(1 + this.listLive().length);
  }

  /** Who is to be asked for a pool, up to this VM itself. */
  #listPlacersBefore(pool: PoolName): FleetPeer[] {
    const { vm } = this.#options.getSettings();
    const duty = findDuty(pool, this.#listDuties());
    const placers = listPlacersOf(duty, this.#listCandidates());
    const ownIndex = placers.indexOf(vm);
    const before = ownIndex < 0 ? placers : placers.slice(0, ownIndex);
    return before.map((each) => this.#talk.peers.find(each))
      .filter((peer) => peer !== undefined);
  }

  #listCandidates(): OwnerCandidate[] {
    const { vm, cores } = this.#options.getSettings();
    const others = this.listLive().map(({ beat }) => beat)
      .filter(({ isServing, isDraining }) => isServing && !isDraining);
    if (!this.#options.isServing()) return others;
    return [...others, { vm, cores, isPrimed: this.#priming.isPrimed }];
  }

  #noteReplicas(): void {
    const { placement, replicas } = this.#options;
    placement.dropUnlisted((id) => replicas.find(id) !== undefined);
    this.#talk.announceState();
  }

  #createPriming(calls: PeerCalls): PrefixPriming {
    const { clock, log, placement, fetchCachedParts } = this.#options;
    return PrefixPriming.create({
      clock,
      log,
      prefixes: placement.prefixes,
      sources: {
        listPrimedPeers: () => this.#listVms((beat) => beat.isPrimed),
        fetchFromPeer: (vm) => calls.fetchPrefixes(vm),
        listReplicas: () => this.#listModelReplicas(),
        fetchFromReplica: fetchCachedParts,
        isFirst: () => this.#isFirst("prefixes"),
      },
    });
  }

  #isFirst(duty: string): boolean {
    const { vm } = this.#options.getSettings();
    const vms = [vm, ...this.#listVms((beat) => !beat.isDraining)];
    return pickRendezvousFirst(duty, vms) === vm;
  }

  #listVms(isWanted: (beat: FleetPeer["beat"]) => boolean): VmId[] {
    return this.listLive().filter(({ beat }) => isWanted(beat))
      .map(({ beat }) => beat.vm);
  }

  #listModelReplicas(): VmId[] {
    const pools = [...this.follower.getSnapshot()?.pools.values() ?? []];
    return pools.filter(({ type }) => type === "model")
      .flatMap(({ name }) => this.#options.replicas.listReady(name))
      .map(({ id }) => id);
  }

  #findPeer(vm: VmId): { address: string; port: number } | undefined {
    const peer = this.#talk.peers.find(vm);
    return peer && parseEndpoint(peer.beat.state);
  }
}
