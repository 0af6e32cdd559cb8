/**
 * One VM's request handling over fakes, with a small configuration.
 *
 * @module
 */
import type { UpstreamTransport } from "../../src/connection/upstream_transport.ts";
import { type ModelName, type PoolName, toId } from "../../src/ids.ts";
import type { ClassName, TierName, WorkspaceName } from "../../src/ids.ts";
import { AnswerStore } from "../../src/process/answer_store.ts";
import type { Clock } from "../../src/process/clock.ts";
import { RequestStatusFinder } from "../../src/process/request_status_finder.ts";
import { RequestStatusStore } from "../../src/process/request_status_store.ts";
import type {
  ClaimAnswer,
  ClaimCall,
  PeerApi,
  RequestStatusAnswer,
  RequestStatusCall,
  SettleCall,
} from "../../src/process/peer_api.ts";
import { RequestQuarantine } from "../../src/process/quarantine/index.ts";
import { WindowRetryBudget } from "../../src/process/retry_budget.ts";
import { UnreadableHeaderLog } from "../../src/process/unreadable_header_log.ts";
import { ProcessExecutionClaims } from "../../src/process/execution_claims.ts";
import type { CallerRequest } from "../../src/request/caller_request.ts";
import { RequestRouter } from "../../src/request/router.ts";
import { computeKeyHash } from "../../src/version/keys.ts";
import type {
  RequestClass,
  Snapshot,
  UpstreamPool,
  Workspace,
} from "../../src/version/records.ts";
import {
  buildEnvironment,
  FakeLeases,
  FakeLimits,
  FakeLog,
  FakeMetrics,
  FakePeers,
  FakeSink,
  FakeUpstreams,
} from "./request_fakes.ts";

/** A VM whose callers, upstreams, owners and metrics are fakes. */
export class RequestVm {
  readonly clock: Clock;
  readonly peers: FakePeers;
  readonly upstreams = new FakeUpstreams();
  readonly leases: FakeLeases;
  readonly limits = new FakeLimits();
  readonly metrics = new FakeMetrics();
  readonly log = new FakeLog();
  readonly requestStatuses = RequestStatusStore.create();
  readonly quarantine: RequestQuarantine;
  readonly answers = AnswerStore.create();
  readonly claims: ProcessExecutionClaims;
  readonly finder: RequestStatusFinder;
  readonly router: RequestRouter;
  snapshot: Snapshot | undefined = buildTestSnapshot();
  isDraining = false;

  constructor(
    clock: Clock,
    options: {
      vm?: string;
      incarnation?: string;
      seed?: number;
      peers?: FakePeers;
      upstreams?: string[];
      retryShare?: number;
      /** Real upstreams instead of the fakes. */
      transport?: UpstreamTransport;
    } = {},
  ) {
    this.clock = clock;
    this.peers = options.peers ?? new FakePeers();
    this.leases = new FakeLeases(
      clock,
      options.upstreams ?? ["u1", "u2", "u3", "u4", "u5"],
    );
    const environment = buildEnvironment(clock, {
      ...options,
      peers: this.peers,
      upstreams: options.transport ?? this.upstreams,
      log: this.log,
    });
    this.quarantine = RequestQuarantine.create({
      clock,
      log: this.log,
      random: environment.random,
      countReplicas: () => 5,
      hasCrashed: () => Promise.resolve(true),
      announce: () => {},
    });
    this.claims = ProcessExecutionClaims.create(environment);
    const { requestStatuses, answers, claims } = this;
    this.finder = RequestStatusFinder.create({
      environment,
      requestStatuses,
      answers,
      claims,
    });
    this.router = RequestRouter.create({
      environment,
      getSnapshot: () => this.snapshot,
      leases: this.leases,
      limits: this.limits,
      claims,
      requestStatuses,
      answers,
      retryBudget: WindowRetryBudget.create({
        clock,
        getShare: () => options.retryShare ?? 1,
      }),
      quarantine: this.quarantine,
      unreadableHeaders: UnreadableHeaderLog.create(environment.log),
      metrics: this.metrics,
      isDraining: () => this.isDraining,
      entries: () => ({ entries: [] }),
      findStatus: (id, statusOptions) =>
        this.finder.findStatus(id, statusOptions),
    });
    this.peers.peers.set(environment.vm, this.createPeer());
  }

  /** Starts a request; `done` resolves when its task has ended. */
  send(
    request: CallerRequest,
  ): { sink: FakeSink; done: Promise<void> } {
    const sink = new FakeSink();
    const done = this.router.handle(request, sink);
    return { sink, done };
  }

  /** The part of `PeerApi` that requests use, handled by this VM. */
  createPeer(): PeerApi {
    const peer: Pick<PeerApi, "claimRun" | "settleRun" | "findFate"> = {
      claimRun: (call: ClaimCall): Promise<ClaimAnswer> =>
        Promise.resolve(this.claims.handleClaim(call)),
      settleRun: (call: SettleCall): Promise<void> =>
        Promise.resolve(this.claims.handleSettlement(call)),
      findFate: (call: RequestStatusCall): Promise<RequestStatusAnswer> =>
        this.finder.handleStatusCall(call),
    };
    return peer as PeerApi;
  }
}

const CHAT = toId<ClassName>("chat");
const HOLD = toId<ClassName>("hold");

/** One workspace with key `key-1`, one with `key-2`, two classes, two pools. */
function buildTestSnapshot(): Snapshot {
  const classes = [
    buildClass(CHAT, { idempotent: true }),
    buildClass(HOLD, { idempotent: false }),
  ];
  const workspaces = [
    buildWorkspace("w1", "key-1"),
    buildWorkspace("w2", "key-2"),
  ];
  const engines = buildPool("engines", "model");
  const booking = buildPool("booking", "service");
  return {
    version: 3,
    tiers: new Map([[toId<TierName>("gold"), {
      kind: "tier",
      name: toId<TierName>("gold"),
      rank: 0,
      maxSlotShare: 1,
    }]]),
    classes: new Map(classes.map((each) => [each.name, each])),
    workspaces: new Map(workspaces.map((each) => [each.name, each])),
    pools: new Map([engines, booking].map((each) => [each.name, each])),
    policy: {
      kind: "policy",
      name: "policy",
      weights: { wastedWork: 1, goodput: 1, attainment: 1 },
      retryShare: 0.1,
      preemption: true,
      weightStoreOrdersPerMinute: 1,
    },
    workspaceByKeyHash: new Map(
      workspaces.map((each) => [each.keyHashes[0]!, each]),
    ),
    poolsByModel: new Map([[toId<ModelName>("m1"), [engines]]]),
  };
}

function buildClass(
  name: ClassName,
  options: { idempotent: boolean },
): RequestClass {
  return {
    kind: "request_class",
    name,
    tier: toId<TierName>("gold"),
    targets: { firstTokenMs: 500, betweenTokensMs: 100, totalMs: 10_000 },
    lateIsUseful: false,
    idempotent: options.idempotent,
    minShare: 0.1,
    maxWaitMs: 5_000,
    queueLimit: 100,
    maxOutputTokens: 200,
    objective: 0.95,
  };
}

function buildWorkspace(name: string, key: string): Workspace {
  return {
    kind: "workspace",
    name: toId<WorkspaceName>(name),
    keyHashes: [computeKeyHash(key)],
    defaultClass: CHAT,
    classes: [CHAT, HOLD],
    weight: 1,
    limits: { requestsPerMinute: 1000, tokensPerMinute: 100_000 },
    objectives: {},
  };
}

function buildPool(name: string, type: "model" | "service"): UpstreamPool {
  return {
    kind: "upstream_pool",
    name: toId<PoolName>(name),
    type,
    models: [],
    shards: 1,
    slots: { initial: 4, min: 1, max: 8 },
    fencing: "checked",
    timeouts: { firstByteMs: 5_000, betweenBytesMs: 2_000, totalMs: 60_000 },
    defaultClass: type === "service" ? HOLD : undefined,
  };
}
