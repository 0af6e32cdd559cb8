/**
 * Records, calls and fakes for the scheduler tests.
 *
 * @module
 */
import {
  type LoadReport,
  UpstreamTransport,
} from "../../../src/connection/upstream_transport.ts";
import { type ShardId, toId, type VmId } from "../../../src/ids.ts";
import type { Environment } from "../../../src/process/environment.ts";
import { SilentLog } from "../../../src/process/log.ts";
import { MembershipView } from "../../../src/process/membership_view.ts";
import type {
  AcquireCall,
  LeaseUpdate,
  PeerApi,
  ShardSummary,
} from "../../../src/process/peer_api.ts";
import { PeerDirectory } from "../../../src/process/peer_api.ts";
import { SeededRandom } from "../../../src/process/random.ts";
import { pickRendezvousFirst } from "../../../src/process/rendezvous.ts";
import {
  buildShardId,
  type SchedulerFeatures,
  ShardOwner,
} from "../../../src/process/scheduler/index.ts";
import type {
  ListedVm,
  MembershipList,
} from "../../../src/version/membership_list.ts";
import type {
  Policy,
  RequestClass,
  Snapshot,
  Tier,
  UpstreamPool,
  Workspace,
} from "../../../src/version/records.ts";
import { VirtualClock } from "../../../standin/virtual_clock.ts";

/** A virtual clock that can jump ahead, as seen by a paused process. */
export class JumpingClock extends VirtualClock {
  #offset = 0;

  static override create(): JumpingClock {
    return new JumpingClock();
  }

  override now(): number {
    return super.now() + this.#offset;
  }

  /** Advances the time by `ms` without firing timers. */
  addClockJump(ms: number): void {
    this.#offset += ms;
  }
}

export function buildClass(
  name: string,
  changes: Partial<RequestClass> = {},
): RequestClass {
  return {
    kind: "request_class",
    name: toId(name),
    tier: toId("gold"),
    targets: { firstTokenMs: 2_000, betweenTokensMs: 50, totalMs: 20_000 },
    lateIsUseful: true,
    idempotent: true,
    minShare: 0,
    maxWaitMs: 60_000,
    queueLimit: 1_000,
    maxOutputTokens: 200,
    objective: 0.95,
    ...changes,
  };
}

export function buildPool(changes: Partial<UpstreamPool> = {}): UpstreamPool {
  return {
    kind: "upstream_pool",
    name: toId("pool"),
    type: "model",
    models: [],
    shards: 1,
    slots: { initial: 1, min: 1, max: 1 },
    fencing: "checked",
    timeouts: { firstByteMs: 5_000, betweenBytesMs: 5_000, totalMs: 60_000 },
    defaultClass: undefined,
    ...changes,
  };
}

function buildTier(name: string, rank: number, maxSlotShare: number): Tier {
  return { kind: "tier", name: toId(name), rank, maxSlotShare };
}

export interface SnapshotParts {
  classes: RequestClass[];
  pool?: UpstreamPool;
  /** Weights by workspace. */
  weights?: Record<string, number>;
  policy?: Partial<Policy>;
  slotShares?: { gold?: number; silver?: number; bronze?: number };
}

/** Builds a snapshot with three tiers (gold, silver, bronze) and one pool. */
export function buildSnapshot(parts: SnapshotParts): Snapshot {
  const pool = parts.pool ?? buildPool();
  const shares = parts.slotShares ?? {};
  const tiers = [
    buildTier("gold", 0, shares.gold ?? 1),
    buildTier("silver", 1, shares.silver ?? 1),
    buildTier("bronze", 2, shares.bronze ?? 1),
  ];
  const workspaces = Object.entries(parts.weights ?? {}).map((
    [name, weight],
  ) => ({ name, weight }) as unknown as Workspace);
  return {
    version: 1,
    tiers: new Map(tiers.map((tier) => [tier.name, tier])),
    classes: new Map(parts.classes.map((one) => [one.name, one])),
    workspaces: new Map(workspaces.map((one) => [one.name, one])),
    pools: new Map([[pool.name, pool]]),
    policy: {
      kind: "policy",
      name: "policy",
      weights: { wastedWork: 1, goodput: 1, attainment: 1 },
      retryShare: 0.1,
      preemption: true,
      weightStoreOrdersPerMinute: 10,
      ...parts.policy,
    },
    workspaceByKeyHash: new Map(),
    poolsByModel: new Map(),
  };
}

export function buildUpstream(name: string, pool = "pool"): ListedVm {
  return {
    id: toId(name),
    role: "upstream",
    state: "live",
    dataCentre: toId("a"),
    address: "127.0.0.1",
    port: 1,
    peerPort: 0,
    pool: toId(pool),
  };
}

export function buildEntryVm(name: string): ListedVm {
  return {
    ...buildUpstream(name),
    role: "entry",
    peerPort: 2,
    pool: undefined,
  };
}

export function buildReport(changes: Partial<LoadReport> = {}): LoadReport {
  return {
    ageMs: 0,
    running: 0,
    waiting: 0,
    cacheUsed: 0,
    leaving: false,
    models: [{ model: "model", version: "1", adapters: [] }],
    role: "",
    fencing: 0,
    cacheSequence: 0,
    ...changes,
  };
}

let ticketCount = 0;

export function buildCall(
  className: string,
  changes: Partial<AcquireCall> = {},
): AcquireCall {
  const ticket = `ticket-${ticketCount++}`;
  return {
    from: { vm: toId("entry-0"), incarnation: toId("1") },
    shard: buildShardId(toId("pool"), 0),
    ticket: toId(ticket),
    requestId: toId(`request-${ticket}`),
    workspace: toId("workspace"),
    className: toId(className),
    model: toId("model"),
    adapter: undefined,
    ageMs: 0,
    deadlineInMs: 20_000,
    promptTokens: 10,
    maxTokens: 100,
    doneTokens: 0,
    idempotent: true,
    prefixes: [],
    avoid: [],
    holdMs: 600_000,
    ...changes,
  };
}

/** Fake upstreams; `loads` holds the load reports of the engines. */
export class FakeUpstreams extends UpstreamTransport {
  readonly loads = new Map<VmId, LoadReport>();

  send(): Promise<never> {
    return Promise.reject(
      new Error("Unexpected send: these tests send no requests"),
    );
  }

  fetchLoad(upstream: VmId): Promise<LoadReport> {
    const load = this.loads.get(upstream);
    return load === undefined
      ? Promise.reject(new Error("The upstream does not answer"))
      : Promise.resolve(load);
  }

  fetchCacheEvents(): Promise<[]> {
    return Promise.resolve([]);
  }

  sendCommand(): Promise<boolean> {
    return Promise.resolve(true);
  }

  copyCache(): Promise<number> {
    return Promise.resolve(0);
  }
}

/** Fake peers; a VM in `silent` never answers. */
class FakePeers extends PeerDirectory {
  readonly peers = new Map<VmId, PeerApi>();
  readonly silent = new Set<VmId>();

  getPeer(vm: VmId): PeerApi {
    const peer = this.peers.get(vm);
    const isSilent = this.silent.has(vm) || peer === undefined;
    if (!isSilent) return peer;
    const waitForever = () => new Promise<never>(() => {});
    return {
      acquire: waitForever,
      syncLeases: waitForever,
      handOver: waitForever,
    } as unknown as PeerApi;
  }
}

/** A membership view that tests set directly. */
export class FakeMembership extends MembershipView {
  upstreams: ListedVm[] = [];
  entryVms: ListedVm[] = [];
  readonly unreachable = new Set<VmId>();
  readonly draining = new Set<VmId>();
  readonly #callbacks: (() => void)[] = [];

  getList(): MembershipList {
    return { revision: 1, vms: [...this.entryVms, ...this.upstreams] };
  }

  findVm(vm: VmId): ListedVm | undefined {
    return this.getList().vms.find((listed) => listed.id === vm);
  }

  listEntryVms(): ListedVm[] {
    return this.entryVms;
  }

  listUpstreams(): ListedVm[] {
    return this.upstreams;
  }

  isReachable(vm: VmId): boolean {
    return !this.unreachable.has(vm);
  }

  isDraining(vm: VmId): boolean {
    return this.draining.has(vm);
  }

  findOwner(key: string): VmId | undefined {
    const able = this.entryVms.map((vm) => vm.id)
      .filter((vm) => this.isReachable(vm) && !this.isDraining(vm));
    return pickRendezvousFirst(key, able);
  }

  findListedOwner(key: string): VmId | undefined {
    return pickRendezvousFirst(key, this.entryVms.map((vm) => vm.id));
  }

  onChange(callback: () => void): void {
    this.#callbacks.push(callback);
  }

  announce(): void {
    for (const callback of this.#callbacks) callback();
  }
}

export function buildEnvironment(
  vm: string,
  options: {
    clock: VirtualClock;
    peers?: PeerDirectory;
    upstreams?: UpstreamTransport;
  },
): Environment {
  return {
    vm: toId(vm),
    incarnation: toId("1"),
    dataCentre: toId("a"),
    clock: options.clock,
    random: SeededRandom.create(vm.length),
    log: SilentLog.create(),
    peers: options.peers ?? new FakePeers(),
    upstreams: options.upstreams ?? new FakeUpstreams(),
  };
}

/** A shard owner with its upstreams, past its grace period. */
export interface OwnerHarness {
  clock: JumpingClock;
  owner: ShardOwner;
  upstreams: ListedVm[];
  snapshot: Snapshot;
  /** Granted tickets, in order. */
  granted: string[];
  /** Refusal codes by ticket. */
  refused: Map<string, string>;
  /** Leases by ticket, for `release`. */
  leases: Map<string, LeaseUpdate>;
  acquire: (call: AcquireCall) => AcquireCall;
  release: (call: AcquireCall, changes?: Partial<LeaseUpdate>) => void;
}

export interface OwnerHarnessOptions extends SnapshotParts {
  replicas?: number;
  features?: Partial<SchedulerFeatures>;
  queueBound?: number;
  skipGracePeriod?: boolean;
  /** Entry VMs whose announcements end the grace period. */
  holders?: string[];
  /** Summaries of the pool's other shards. */
  others?: ShardSummary[];
}

export async function createOwnerHarness(
  options: OwnerHarnessOptions,
): Promise<OwnerHarness> {
  const clock = JumpingClock.create();
  const snapshot = buildSnapshot(options);
  const upstreams = Array.from(
    { length: options.replicas ?? 1 },
    (_, index) => buildUpstream(`upstream-${index}`),
  );
  const shard: ShardId = buildShardId(toId("pool"), 0);
  const owner = ShardOwner.create({
    environment: buildEnvironment("entry-0", { clock }),
    shard,
    pool: [...snapshot.pools.values()][0]!,
    getSnapshot: () => snapshot,
    listUpstreams: () => upstreams,
    features: options.features,
    queueBound: options.queueBound,
    listLeaseHolders: () => (options.holders ?? []).map((vm) => toId<VmId>(vm)),
    listOtherShards: () => options.others ?? [],
  });
  if (options.skipGracePeriod !== false) await clock.run(2_100);
  const harness: OwnerHarness = {
    clock,
    owner,
    upstreams,
    snapshot,
    granted: [],
    refused: new Map(),
    leases: new Map(),
    acquire: (call) => {
      void owner.acquire(call).then((answer) => {
        if (answer.kind === "refused") {
          harness.refused.set(call.ticket, answer.refusal.code);
        }
        if (answer.kind !== "granted") return;
        harness.granted.push(call.ticket);
        harness.leases.set(call.ticket, buildLeaseUpdate(call, answer.lease));
      });
      return call;
    },
    release: (call, changes = {}) => {
      const update = harness.leases.get(call.ticket)!;
      owner.syncLeases({
        from: call.from,
        shard,
        news: [{ ...update, state: "done", ...changes }],
        withdrawn: [],
      });
    },
  };
  return harness;
}

/** Runs for `ms` and releases each lease `holdMs` after its grant. */
export async function runSlots(
  harness: OwnerHarness,
  options: {
    ms: number;
    holdMs: number;
    calls: AcquireCall[];
    betweenTokensMs?: number;
  },
): Promise<void> {
  const stepMs = 10;
  const since = new Map<string, number>();
  const end = harness.clock.now() + options.ms;
  const done = new Set<string>();
  while (harness.clock.now() < end) {
    await harness.clock.run(stepMs);
    const now = harness.clock.now();
    for (const call of options.calls) {
      if (!harness.leases.has(call.ticket) || done.has(call.ticket)) continue;
      if (!since.has(call.ticket)) since.set(call.ticket, now);
      if (now - since.get(call.ticket)! < options.holdMs) continue;
      done.add(call.ticket);
      harness.release(call, {
        tokens: 10,
        firstTokenMs: 100,
        betweenTokensMs: options.betweenTokensMs ?? 10,
      });
    }
  }
}

export function buildLeaseUpdate(
  call: AcquireCall,
  slot: { lease: LeaseUpdate["lease"]; upstream: VmId },
): LeaseUpdate {
  return {
    lease: slot.lease,
    ticket: call.ticket,
    upstream: slot.upstream,
    className: call.className,
    workspace: call.workspace,
    idempotent: call.idempotent,
    state: "running",
    promptTokens: call.promptTokens,
    tokens: 0,
    firstTokenMs: undefined,
    betweenTokensMs: undefined,
  };
}
