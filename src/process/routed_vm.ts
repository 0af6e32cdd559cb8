/**
 * Entry VM of a fleet that is discovered through seeds; assembles all
 * components.
 *
 * @module
 */
import process from "node:process";
import { parseEndpoint } from "../connection/endpoint.ts";
import type { OpenConnection } from "../connection/upstream_agent.ts";
import {
  type HttpTransportOptions,
  HttpUpstreamTransport,
} from "../connection/http_transport.ts";
import { ReadPacer } from "../connection/read_pacer.ts";
import { type Incarnation, type Region, toId, type VmId } from "../ids.ts";
import {
  CallerHandler,
  type CallerRequest,
} from "../request/caller_request.ts";
import type { CallerSink } from "../request/caller_sink.ts";
import type { HeaderCodec } from "../request/header_codec.ts";
import { RoutedHandler } from "../request/routed_handler.ts";
import type { RoutedSnapshot } from "../version/routes.ts";
import { type Clock, SystemClock } from "./clock.ts";
import { DrainAdmission } from "./drain_admission.ts";
import { type EntryAddress, listNearAddresses } from "./entry_addresses.ts";
import { RequestStatusStore } from "./request_status_store.ts";
import type { Log } from "./log.ts";
import {
  Locality,
  type PlacementState,
  ReplicaDirectory,
} from "./placement/index.ts";
import type { RequestQuarantine } from "./quarantine/index.ts";
import { type Random, SystemRandom } from "./random.ts";
import { ProcessMetrics } from "./request_metrics.ts";
import { runDrain } from "./routed_drain.ts";
import { RoutedFleet } from "./routed_fleet.ts";
import { RoutedListeners } from "./routed_listeners.ts";
import { createRoutedPlacement } from "./routed_placement.ts";
import { createRoutedQuarantine } from "./routed_quarantine.ts";
import { buildRoutedServices } from "./routed_services.ts";
import type { RoutedSettings } from "./routed_settings.ts";
import { addGauges, buildStatus, type StatusSources } from "./routed_status.ts";
import {
  type DatagramLink,
  type FleetPeer,
  type PublishedStore,
  ReadDelay,
  UdpLink,
} from "./seeded_fleet/index.ts";

const INCARNATION_LENGTH = 12;
const MS_PER_SECOND = 1_000;
/**
 * A connection to a replica in the same region takes a few milliseconds. If the
 * opening packet is lost, it is sent again only after a second.
 */
const CONNECT_TIMEOUT_MS = 250;
/** A signal counts as sent up to twice this time before it is handled. */
const SIGNAL_CHECK_INTERVAL_MS = 100;
/** Memory for the status of finished requests. */
const REQUEST_STATUS_BYTES = 4 * 1024 * 1024;

/** Options of `RoutedVm`. */
export interface RoutedVmOptions {
  settings: RoutedSettings;
  log: Log;
  headerCodec: HeaderCodec;
  createStore: (transport: HttpUpstreamTransport) => PublishedStore;
  /** Fetches from a model replica which parts of prompts it has cached. */
  fetchCachedParts: (
    transport: HttpUpstreamTransport,
    replica: VmId,
  ) => Promise<string[]>;
  /** Resolves once the replica has answered a call that needs no slot. */
  fetchReport: (
    transport: HttpUpstreamTransport,
    replica: VmId,
    timeoutMs: number,
  ) => Promise<void>;
  clock?: Clock;
  random?: Random;
  /** Opens the datagram link; UDP by default. */
  openLink?: () => Promise<DatagramLink>;
  /** Opens connections to replicas; `net.connect` by default. */
  openConnection?: OpenConnection;
}

/** One entry VM. */
export class RoutedVm extends CallerHandler {
  readonly metrics: ProcessMetrics;
  readonly requestStatuses: RequestStatusStore;
  readonly replicas = ReplicaDirectory.create((replica) => {
    this.#log.info("replica_leaving", { replica });
    this.#placement.unanswered.noteLeavings((id) => id === replica);
    this.#fleet?.announceWork();
  });
  readonly #options: RoutedVmOptions;
  readonly #clock: Clock;
  readonly #random: Random;
  readonly #log: Log;
  readonly #incarnation: Incarnation;
  readonly #upstreams: HttpUpstreamTransport;
  readonly #locality: Locality;
  readonly #placement: PlacementState;
  readonly #quarantine: RequestQuarantine;
  readonly #handler: RoutedHandler;
  readonly #listeners: RoutedListeners;
  readonly #readDelay: ReadDelay;
  readonly #admission: DrainAdmission;
  #settings: RoutedSettings;
  #fleet: RoutedFleet | undefined;
  #inFlight = 0;
  #draining: Promise<void> | undefined;
  #stopped: Promise<void> | undefined;

  constructor(options: RoutedVmOptions) {
    super();
    this.#options = options;
    this.#settings = options.settings;
    this.#clock = options.clock ?? SystemClock.create();
    this.#random = options.random ?? SystemRandom.create();
    this.#log = options.log;
    this.#incarnation = toId<Incarnation>(
      this.#random.nextHex(INCARNATION_LENGTH),
    );
    this.#readDelay = ReadDelay.create(this.#clock, SIGNAL_CHECK_INTERVAL_MS);
    this.#admission = DrainAdmission.create({
      clock: this.#clock,
      countOthers: () => this.#listServing().length,
    });
    this.metrics = ProcessMetrics.create(this.#clock);
    this.requestStatuses = RequestStatusStore.create({
      maxBytes: REQUEST_STATUS_BYTES,
    });
    // A replica that is gone from the list may still work on requests.
    const findReplica = (id: VmId) => this.replicas.findFormer(id);
    this.#upstreams = this.#createTransport(findReplica, {
      allowsCloseDelimited: true,
      maxAnswerBytes: options.settings.maxAnswerBytes,
      openConnection: options.openConnection,
      onConnection: (id, isEstablished) =>
        this.#noteConnection(id, isEstablished),
    });
    this.#locality = Locality.create(options.settings.regions);
    this.#placement = createRoutedPlacement({
      clock: this.#clock,
      log: this.#log,
      settings: options.settings,
      replicas: this.replicas,
      random: this.#random,
      isListening: async (replica) =>
        this.replicas.find(replica) !== undefined &&
        await this.#upstreams.isListening(replica),
      fetchReport: (replica, timeoutMs) =>
        options.fetchReport(this.#upstreams, replica, timeoutMs),
      getSnapshot: () => this.getSnapshot(),
      getFleet: () => this.#fleet,
    });
    this.#quarantine = createRoutedQuarantine({
      clock: this.#clock,
      log: this.#log,
      random: this.#random,
      replicas: this.replicas,
      placement: this.#placement,
      getFleet: () => this.#fleet,
    });
    this.#handler = this.#createHandler();
    const statusSources = this.#buildStatusSources();
    addGauges(this.metrics, statusSources);
    this.#listeners = this.#createListeners(statusSources);
  }

  static create(options: RoutedVmOptions): RoutedVm {
    return new RoutedVm(options);
  }

  /** Opens the listeners and starts all tasks. Rejects with `StepError`. */
  async start(): Promise<void> {
    const { vm, dataCentre } = this.#settings;
    this.#readDelay.start();
    this.#fleet = this.#createFleet(await this.#openLink());
    this.#fleet.start();
    await this.#listeners.start(this.#settings);
    this.#log.info("started", {
      vm,
      incarnation: this.#incarnation,
      data_centre: dataCentre,
      up_ms: Math.round(process.uptime() * MS_PER_SECOND),
    });
  }

  /** Stops at once; requests in flight are aborted. */
  stop(): Promise<void> {
    this.#stopped ??= this.#runStop();
    return this.#stopped;
  }

  /** Applies new settings; only seeds can change while the process runs. */
  updateSettings(settings: RoutedSettings): void {
    this.#settings = { ...this.#settings, seeds: settings.seeds };
    this.#log.info("settings_reloaded", { seeds: settings.seeds.join(",") });
  }

  /** The active configuration; undefined before the first. */
  getSnapshot(): RoutedSnapshot | undefined {
    return this.#fleet?.follower.getSnapshot();
  }

  /** Whether callers may be sent to this VM. */
  isServing(): boolean {
    return !this.isDraining() && this.getSnapshot() !== undefined &&
      this.replicas.revision > 0;
  }

  /** Whether the VM is draining. */
  isDraining(): boolean {
    return this.#draining !== undefined;
  }

  /**
   * Addresses to which callers may connect now, including this VM's own if it
   * serves. The order is random: an answer to a caller has space for some of
   * them only, and in a fixed order the last ones would get no callers.
   */
  listEntries(region?: Region): string[] {
    const { dataCentre, listeners } = this.#settings;
    const entries: EntryAddress[] = this.#listServing();
    if (this.isServing()) {
      entries.push({ dataCentre, callers: listeners.callers });
    }
    const near = listNearAddresses(entries, region, this.#locality);
    return this.#random.toShuffled(near);
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    this.#inFlight += 1;
    try {
      await this.#handler.handle(request, sink);
    } finally {
      this.#inFlight -= 1;
    }
  }

  /**
   * Shuts down without aborting requests: sends new callers to other VMs at
   * once, serves those that still use this address, and then finishes the
   * requests in flight, as far as the platform's grace period allows.
   */
  drain(): Promise<void> {
    this.#draining ??= runDrain({
      clock: this.#clock,
      log: this.#log,
      settings: this.#settings,
      signalledSince: this.#readDelay.getHandledUntil(),
      getInFlight: () => this.#inFlight,
      countOthers: () => this.#listServing().length,
      admission: this.#admission,
      announceNow: () => this.#fleet?.announceNow(),
      closeCallers: () => this.#listeners.closeForCallers(),
      cancelRequests: () => this.#cancelRequests(),
      stop: () => this.stop(),
    });
    return this.#draining;
  }

  #cancelRequests(): void {
    this.#handler.cancelAll();
    this.#fleet?.follower.endWaits();
  }

  async #runStop(): Promise<void> {
    this.#readDelay.stop();
    this.#fleet?.stop();
    this.#placement.stop();
    const stopped = this.#listeners.stop();
    this.#upstreams.close();
    await stopped;
  }

  #createListeners(statusSources: StatusSources): RoutedListeners {
    return RoutedListeners.create({
      clock: this.#clock,
      log: this.#log,
      handler: this,
      isPeer: (address) => this.#fleet?.isPeerAddress(address) ?? false,
      maxDescriptors: this.#settings.maxDescriptors,
      state: {
        buildNewerState: (known) =>
          this.#fleet?.follower.buildNewerState(known) ?? {},
        listPrefixes: () => this.#placement.prefixes.listAll(),
        checkReach: (replica) => this.#placement.checks.check(replica),
        buildStatus: () => buildStatus(statusSources),
        endHold: (part) => this.#quarantine.parts.endHold(part),
        findRequestStatus: (requestId) => this.requestStatuses.find(requestId),
      },
    });
  }

  #createHandler(): RoutedHandler {
    return RoutedHandler.create({
      services: buildRoutedServices({
        vm: this.#settings.vm,
        incarnation: this.#incarnation,
        dataCentre: this.#settings.dataCentre,
        clock: this.#clock,
        random: this.#random,
        log: this.#log,
        upstreams: this.#upstreams,
        settings: this.#settings,
        quarantine: this.#quarantine,
        replicas: this.replicas,
        getListAgeMs: () => this.#fleet?.follower.getListAgeMs() ?? -1,
        isViewStale: () => this.#fleet?.follower.isViewStale() ?? true,
        canUseState: () => this.#fleet?.follower.canUseState() ?? true,
        waitForFreshState: () => this.#waitForFreshState(),
        locality: this.#locality,
        placement: this.#placement,
        fetchPlacement: (request, wait) =>
          this.#fleet?.fetchPlacement(request, wait) ??
            Promise.resolve(undefined),
        forward: (request) => this.#fleet?.forwarding.createLease(request),
        requestStatuses: this.requestStatuses,
        metrics: this.metrics,
        getSnapshot: () => this.getSnapshot(),
        isDraining: () => this.isDraining(),
        admission: this.#admission,
        listEntries: () => this.listEntries(),
        countLiveVms: () => 1 + this.#listLive().length,
      }),
      getSnapshot: () => this.getSnapshot(),
      admission: this.#admission,
      waitForFreshState: () => this.#waitForFreshState(),
      headerCodec: this.#options.headerCodec,
      streamOrigins: {
        announce: (stream, content, origin) =>
          this.#fleet?.streamOrigins.announce(stream, content, origin),
        find: async (stream, options) =>
          await this.#fleet?.streamOrigins.find(stream, options),
      },
    });
  }

  async #waitForFreshState(): Promise<void> {
    await this.#fleet?.waitForFreshState();
  }

  #openLink(): Promise<DatagramLink> {
    const { address, peerPort } = this.#settings;
    return this.#options.openLink?.() ??
      UdpLink.open(address, peerPort, this.#log);
  }

  #createFleet(link: DatagramLink): RoutedFleet {
    const { createStore, fetchCachedParts } = this.#options;
    // A read of the whole state has to be over within a call's timeout.
    const toStore = this.#createTransport(
      () => parseEndpoint(this.#settings.store),
      { pacer: undefined },
    );
    return RoutedFleet.create({
      incarnation: this.#incarnation,
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      link,
      store: createStore(toStore),
      createStore: () => createStore(toStore),
      replicas: this.replicas,
      locality: this.#locality,
      placement: this.#placement,
      quarantine: this.#quarantine,
      getSettings: () => this.#settings,
      createTransport: (findAddress, transport) =>
        this.#createTransport(findAddress, transport),
      fetchCachedParts: (id) => fetchCachedParts(this.#upstreams, id),
      isServing: () => this.isServing(),
      isDraining: () => this.isDraining(),
      onRestarted: (restarted) => this.#dropConnections(restarted),
      onSnapshot: ({ callerBounds }) =>
        this.#listeners.updateLimits(callerBounds),
    });
  }

  #noteConnection(id: VmId, isEstablished: boolean): void {
    const replica = this.replicas.find(id);
    if (replica === undefined) return;
    this.#placement.noteConnection(replica, isEstablished);
  }

  /** Drops idle connections to processes that no longer exist. */
  #dropConnections(restarted: readonly VmId[]): void {
    const gone = restarted.map((id) => this.replicas.find(id));
    this.#upstreams.removeEndpoints(({ address, port }) =>
      !gone.some((each) => each?.address === address && each.port === port)
    );
  }

  #buildStatusSources(): StatusSources {
    return {
      vm: this.#settings.vm,
      incarnation: this.#incarnation,
      replicas: this.replicas,
      placement: this.#placement,
      quarantine: this.#quarantine,
      getSnapshot: () => this.getSnapshot(),
      isServing: () => this.isServing(),
      isDraining: () => this.isDraining(),
      getNow: () => this.#clock.now(),
      getInFlight: () => this.#inFlight,
      getListAgeMs: () => this.#fleet?.follower.getListAgeMs() ?? -1,
      getLagMs: () => this.#fleet?.follower.getLagMs() ?? 0,
      getWaiting: () => this.#fleet?.waiting,
      countFailedFetches: () => this.#fleet?.follower.failedFetches ?? 0,
      countVerifications: () => this.#fleet?.follower.verifications ?? 0,
      listDiffering: () =>
        this.#fleet?.follower.agreement.listDiffering() ?? [],
      countRestorations: () => this.#fleet?.follower.restorations.count ?? 0,
      countLateLeavings: () => this.#fleet?.follower.leavings.lateCount ?? 0,
      getBodies: () => this.#listeners.bodies,
      getDatagrams: () => this.#fleet?.datagrams,
      getForwarding: () => this.#fleet?.forwarding,
      isWatching: () => this.#fleet?.follower.isWatching ?? false,
      listLive: () => this.#listLive(),
    };
  }

  #listLive(): FleetPeer[] {
    return this.#fleet?.listLive() ?? [];
  }

  /** What the other VMs that serve callers said last. */
  #listServing(): FleetPeer["heartbeat"][] {
    return this.#listLive()
      .map(({ heartbeat }) => heartbeat)
      .filter(({ isServing }) => isServing);
  }

  #createTransport(
    findAddress: HttpTransportOptions["findAddress"],
    options: Partial<HttpTransportOptions> = {},
  ): HttpUpstreamTransport {
    return HttpUpstreamTransport.create({
      clock: this.#clock,
      log: this.#log,
      findAddress,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      pacer: ReadPacer.create(this.#clock),
      ...options,
    });
  }
}
