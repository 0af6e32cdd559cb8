/**
 * Components of one entry VM, without the listeners.
 *
 * @module
 */
import type { DataCentre, PoolName, RequestId, VmId } from "../ids.ts";
import { toId } from "../ids.ts";
import type {
  CallerRequest,
  CallerSink,
  RequestServices,
} from "../request/index.ts";
import { CallerHandler, RequestRouter } from "../request/index.ts";
import type { ListedVm, Snapshot } from "../version/index.ts";
import { AnswerStore } from "./answer_store.ts";
import { ConfigurationFollower } from "./configuration_follower.ts";
import type { ConfigurationSource } from "./configuration_source.ts";
import { chooseEntries, type EntriesAnswer } from "./entries.ts";
import type { Environment } from "./environment.ts";
import { RequestStatusFinder } from "./request_status_finder.ts";
import { RequestStatusStore } from "./request_status_store.ts";
import { FleetMembership } from "./fleet_membership.ts";
import { WorkspaceLimits } from "./limits/index.ts";
import { LocalPeer } from "./local_peer.ts";
import { EngineController } from "./engine_control/index.ts";
import type { PeerApi, StatsAnswer } from "./peer_api.ts";
import { Prober } from "./prober.ts";
import {
  createPeerSuspectGossip,
  RequestQuarantine,
  type SuspectGossip,
} from "./quarantine/index.ts";
import { createPeerCrashCheck } from "./peer_crash_check.ts";
import { ProcessMetrics } from "./request_metrics.ts";
import { WindowRetryBudget } from "./retry_budget.ts";
import { UnreadableHeaderLog } from "./unreadable_header_log.ts";
import { ProcessExecutionClaims } from "./execution_claims.ts";
import {
  buildShardId,
  LeaseClient,
  listShardUpstreams,
  type SchedulerFeatures,
  ShardOwners,
} from "./scheduler/index.ts";

/** Interval between two announcements of the owned shards' summaries. */
const SUMMARY_INTERVAL_MS = 500;
/** Share of retries that is allowed before the first configuration. */
const NO_RETRIES = 0;

/** Options of `VmRuntime`. */
export interface RuntimeOptions {
  environment: Environment;
  /** This VM as it appears in the membership list. */
  self: ListedVm;
  source: ConfigurationSource;
  /** Name of the source in reports and logs. */
  sourceName?: string;
  /** VMs to fetch a configuration from before any list is known. */
  seeds: readonly VmId[];
  /** How long callers may cache an answer of `GET /v1/entries`. */
  entriesTtlMs?: number;
  retainedAnswersBytes?: number;
  /** Scheduler features; all are on by default. */
  features?: Partial<SchedulerFeatures>;
  /** Maximum number of requests that wait in a shard. */
  queueBound?: number;
}

/** One entry VM: serves callers through `handle` and peers through `api`. */
export class VmRuntime extends CallerHandler {
  readonly api: PeerApi;
  readonly membership: FleetMembership;
  readonly follower: ConfigurationFollower;
  readonly prober: Prober;
  readonly owners: ShardOwners;
  readonly leases: LeaseClient;
  readonly limits: WorkspaceLimits;
  readonly claims: ProcessExecutionClaims;
  readonly requestStatuses: RequestStatusStore;
  readonly quarantine: RequestQuarantine;
  readonly #suspectGossip: SuspectGossip<VmId>;
  readonly requestStatusFinder: RequestStatusFinder;
  readonly metrics: ProcessMetrics;
  readonly #environment: Environment;
  readonly #entriesTtlMs: number | undefined;
  readonly #answers: AnswerStore;
  readonly #engineController: EngineController;
  readonly #router: RequestRouter;
  readonly #stopped = new AbortController();
  readonly #startedAt: number;
  #inFlight = 0;
  #isDraining = false;

  constructor(options: RuntimeOptions) {
    super();
    const { environment, self, source, seeds } = options;
    const getSnapshot = () => this.getSnapshot();
    const getLocal = () => this.api;
    this.#environment = environment;
    this.#entriesTtlMs = options.entriesTtlMs;
    this.#startedAt = environment.clock.now();
    this.membership = FleetMembership.create({ environment, self });
    const membership = this.membership;
    this.follower = ConfigurationFollower.create({
      environment,
      source,
      membership,
      seeds,
      sourceName: options.sourceName,
    });
    this.prober = Prober.create({
      environment,
      membership,
      versions: this.follower,
    });
    this.owners = ShardOwners.create({
      environment,
      membership,
      getSnapshot,
      features: options.features,
      queueBound: options.queueBound,
      findSummary: (shard) => this.prober.summaries.find(shard),
      onUpstreamLeaving: (vm, isLeaving, ageMs) =>
        membership.noteUpstreamLeaving(vm, isLeaving, ageMs),
    });
    this.leases = LeaseClient.create({
      environment,
      membership,
      getSnapshot,
      getLocal,
      findSummary: (shard) => this.prober.summaries.find(shard),
      onUpstreamLeaving: (vm) => membership.noteUpstreamLeaving(vm),
    });
    this.limits = WorkspaceLimits.create({
      environment,
      membership,
      getSnapshot,
      getLocal,
    });
    this.claims = ProcessExecutionClaims.create(environment);
    this.requestStatuses = RequestStatusStore.create();
    const crashCheck = createPeerCrashCheck({ environment, membership });
    this.quarantine = RequestQuarantine.create({
      clock: environment.clock,
      log: environment.log,
      random: environment.random,
      countReplicas: (pool) => membership.listUpstreams(pool).length,
      hasCrashed: (upstream) => crashCheck.hasCrashed(upstream),
      announce: (news) => this.#suspectGossip.announce(news),
    });
    this.#suspectGossip = createPeerSuspectGossip({
      environment,
      membership,
      quarantine: this.quarantine,
    });
    this.#answers = AnswerStore.create(
      options.retainedAnswersBytes === undefined
        ? {}
        : { maxBytes: options.retainedAnswersBytes },
    );
    this.requestStatusFinder = RequestStatusFinder.create({
      environment,
      requestStatuses: this.requestStatuses,
      answers: this.#answers,
      claims: this.claims,
    });
    this.metrics = ProcessMetrics.create(environment.clock);
    this.#engineController = EngineController.create({
      environment,
      membership,
      getSnapshot,
      getViewAgeMs: () => membership.getViewAgeMs(),
      listUpstreams: (pool, index) => this.#listUpstreams(pool, index),
    });
    this.#router = RequestRouter.create(this.#buildServices());
    this.api = LocalPeer.create(() => ({
      owners: this.owners,
      prober: this.prober,
      follower: this.follower,
      limits: this.limits,
      claims: this.claims,
      requestStatusFinder: this.requestStatusFinder,
      quarantine: this.quarantine,
      collectStats: () => this.collectStats(),
      checkReach: (upstream) => environment.upstreams.isListening(upstream),
    }));
  }

  static create(options: RuntimeOptions): VmRuntime {
    return new VmRuntime(options);
  }

  /** Starts all background tasks. */
  start(): void {
    this.membership.start();
    this.follower.start();
    this.prober.start();
    this.#suspectGossip.start();
    this.owners.start();
    this.leases.start();
    void this.#engineController.run(this.#stopped.signal);
    void this.#announceSummaries();
  }

  /** Stops all background tasks. The listeners end the requests in flight. */
  stop(): void {
    this.#stopped.abort();
    this.leases.stop();
    this.owners.stop();
    this.prober.stop();
    this.#suspectGossip.stop();
    this.follower.stop();
    this.limits.close();
    this.membership.stop();
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    this.#inFlight++;
    try {
      await this.#router.handle(request, sink);
    } finally {
      this.#inFlight--;
    }
  }

  /**
   * Announces the drain and hands the owned shards over. Requests are still
   * served, since callers may have cached this VM's address.
   */
  async startDraining(): Promise<void> {
    if (this.#isDraining) return;
    this.#isDraining = true;
    this.prober.startDraining();
    await this.owners.handOverAll();
  }

  /** The active configuration; undefined before the first. */
  getSnapshot(): Snapshot | undefined {
    return this.follower.getSnapshot();
  }

  /** Whether the VM is draining. */
  get isDraining(): boolean {
    return this.#isDraining;
  }

  /** Number of requests in flight. */
  get inFlight(): number {
    return this.#inFlight;
  }

  /** Time since the runtime was created, in milliseconds. */
  get uptimeMs(): number {
    return this.#environment.clock.now() - this.#startedAt;
  }

  /** This VM's statistics for the error budget report. */
  collectStats(): StatsAnswer {
    return {
      vm: this.#environment.vm,
      incarnation: this.#environment.incarnation,
      upMs: this.uptimeMs,
      configVersion: this.getSnapshot()?.version ?? 0,
      series: this.metrics.collectSeries(),
    };
  }

  /** Issues an id for a request that is refused before it is handled. */
  issueId(): RequestId {
    return this.claims.issueId();
  }

  /** Builds the services of the process that requests use. */
  #buildServices(): RequestServices {
    const environment = this.#environment;
    return {
      environment,
      getSnapshot: () => this.getSnapshot(),
      leases: this.leases,
      limits: this.limits,
      claims: this.claims,
      requestStatuses: this.requestStatuses,
      retryBudget: WindowRetryBudget.create({
        clock: environment.clock,
        getShare: () => this.getSnapshot()?.policy.retryShare ?? NO_RETRIES,
      }),
      quarantine: this.quarantine,
      unreadableHeaders: UnreadableHeaderLog.create(environment.log),
      metrics: this.metrics,
      answers: this.#answers,
      isDraining: () => this.#isDraining,
      entries: (query) => formatEntries(this.#chooseEntries(query)),
      findStatus: (requestId, find) =>
        this.requestStatusFinder.findStatus(requestId, find),
    };
  }

  /** Lists the upstreams of one shard of a pool, for engine commands. */
  #listUpstreams(pool: PoolName, index: number): VmId[] {
    const record = this.getSnapshot()?.pools.get(pool);
    if (record === undefined) return [];
    const vms = this.membership.listUpstreams(pool);
    const shard = buildShardId(pool, index);
    return listShardUpstreams(shard, { pool: record, vms })
      .map(({ id }) => id);
  }

  #chooseEntries(query: URLSearchParams): EntriesAnswer {
    const wanted = query.get("data_centre");
    const limit = Number(query.get("limit") ?? NaN);
    const answer = chooseEntries({
      view: this.membership,
      random: this.#environment.random,
      dataCentre: wanted === null ? undefined : toId<DataCentre>(wanted),
      limit: Number.isInteger(limit) ? limit : undefined,
    });
    return { ...answer, ttlMs: this.#entriesTtlMs ?? answer.ttlMs };
  }

  async #announceSummaries(): Promise<void> {
    const { clock } = this.#environment;
    const { signal } = this.#stopped;
    while (!signal.aborted) {
      for (const summary of this.owners.listSummaries()) {
        this.prober.announceSummary(summary);
      }
      await clock.sleep(SUMMARY_INTERVAL_MS, signal);
    }
  }
}

function formatEntries(answer: EntriesAnswer): object {
  return {
    entries: answer.entries.map((entry) => ({
      vm: entry.vm,
      data_centre: entry.dataCentre,
      address: entry.address,
      port: entry.port,
    })),
    ttl_ms: answer.ttlMs,
  };
}
