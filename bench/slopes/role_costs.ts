/**
 * Computes from the slopes what each role costs a VM at the target's size.
 *
 * @module
 */
import { computeAt, type Slope } from "./slope.ts";
import type { SlopeFile } from "./slope_file.ts";
import { computeShare, type Share, TARGET } from "./target.ts";

const US_PER_MS = 1_000;
const KIB_PER_MIB = 1_024;
const POLLS_PER_SECOND = 1;
/**
 * Rate assumed for load reports that a pool's engine controller polls; an upper
 * bound, since `EngineController` itself fetches at most five a second.
 */
const COMMAND_POLLS_PER_SECOND = 20;
const COMMAND_ROUNDS_PER_SECOND = 0.5;
const SUMMARIES_PER_SECOND = 2;
const SUMMARIES_PER_MESSAGE = 6;
const PREFIXES = 4;
/** Cache events per request: each prefix is stored and later evicted. */
const EVENTS_PER_REQUEST = 2 * PREFIXES;
/** Probes that a VM sends at once for each new version. */
const FAN_OUT = 2;
/** Share of requests that use a previously issued request id. */
const ISSUED_ID_SHARE = 0.1;
const LIMIT_TTL_S = 60;
const MAX_STATUS_RECORDS = 20_000;
const MAX_ANSWERS_MIB = 32;
const MAX_CLAIMS = 50_000;
const MAX_ENTRIES = 1_000;
/** Both ends of a call are VMs of the fleet. */
const ENDS = 2;

/** Cost for one VM: rates per second, and memory. */
export interface Cost {
  /** Calls sent; as many are received if the other end is also a VM. */
  calls: number;
  /** Milliseconds of processor time per second; 10 are 1% of a core. */
  processorMs: number;
  bytes: number;
  memoryMib: number;
}

/** Cost of one role at the target's size. */
export interface RoleCost {
  role: string;
  mechanism: string;
  /** Cost for the average VM. */
  mean: Cost;
  /** Cost for the VM that owns the most replicas. */
  busiest: Cost;
}

/** Lists the costs of all control-plane roles. */
export function listRoleCosts(file: SlopeFile): RoleCost[] {
  const slopes = new Slopes(file);
  const share = computeShare();
  return [
    buildAcquires(slopes, share),
    buildSyncs(slopes, share),
    buildPolls(slopes, share),
    buildCommands(slopes),
    buildProbing(slopes, file),
    buildConfiguration(slopes, share),
    buildLists(slopes, share),
    buildLimits(slopes, share),
    buildClaims(slopes, share),
    buildOwnership(slopes, share),
    buildFigures(slopes, share),
    buildRequestRecords(slopes),
  ];
}

/** Builds the cost of the data plane: callers' requests and tokens. */
export function buildDataPath(file: SlopeFile): RoleCost {
  const slopes = new Slopes(file);
  const { requests, tokens, streams } = computeShare();
  const request = slopes.get("request at another VM: processor");
  const memory = slopes.get("open streams: resident memory");
  const processorUs = requests * request.start + tokens * request.slope;
  const mean: Cost = {
    calls: requests,
    processorMs: processorUs / US_PER_MS,
    bytes: 0,
    memoryMib: computeAt(memory, streams) / KIB_PER_MIB,
  };
  return {
    role: "Requests and tokens",
    mechanism: "one task per request",
    mean,
    busiest: mean,
  };
}

/** Adds the costs of several roles. */
export function computeTotal(costs: readonly Cost[]): Cost {
  const total = { calls: 0, processorMs: 0, bytes: 0, memoryMib: 0 };
  for (const cost of costs) {
    total.calls += cost.calls;
    total.processorMs += cost.processorMs;
    total.bytes += cost.bytes;
    total.memoryMib += cost.memoryMib;
  }
  return total;
}

class Slopes {
  readonly #byName: ReadonlyMap<string, Slope>;

  constructor(file: SlopeFile) {
    this.#byName = new Map(file.slopes.map((slope) => [slope.name, slope]));
  }

  get(name: string): Slope {
    const slope = this.#byName.get(name);
    if (slope === undefined) throw new Error(`Unknown slope: ${name}`);
    return slope;
  }

  /**
   * Returns the measured value if `size` was measured, else the line's value.
   */
  getAt(name: string, size: number): number {
    const slope = this.get(name);
    const point = slope.points.find(([one]) => one === size);
    return point?.[1] ?? computeAt(slope, size);
  }

  /** Returns a call's cost in µs at each end, and its bytes. */
  getCall(
    name: string,
    size: number,
  ): { client: number; server: number; bytes: number } {
    return {
      client: this.getAt(`${name}: client`, size),
      server: this.getAt(`${name}: server`, size),
      bytes: this.getAt(`${name}: bytes`, size),
    };
  }
}

/**
 * Builds the cost of calls that a VM sends and answers; `ownUs` is the
 * handler's time.
 */
function buildCalls(
  call: { client: number; server: number; bytes: number },
  counts: { sent: number; answered: number; ownUs?: number },
): Cost {
  const { sent, answered, ownUs = 0 } = counts;
  return {
    calls: sent,
    processorMs: (sent * call.client + answered * (call.server + ownUs)) /
      US_PER_MS,
    bytes: (sent + answered) * call.bytes,
    memoryMib: 0,
  };
}

function buildAcquires(slopes: Slopes, share: Share): RoleCost {
  const call = slopes.getCall("acquire", PREFIXES);
  const ownUs = slopes.getAt("owner, a grant: processor", 0);
  const sent = share.requests;
  const answered = computeBusiestShare(share) * TARGET.requestsPerSecond;
  return {
    role: "Slots: acquire and grant",
    mechanism: "one owner for each shard, by rendezvous hashing",
    mean: buildCalls(call, { sent, answered: sent, ownUs }),
    busiest: buildCalls(call, { sent, answered, ownUs }),
  };
}

function buildSyncs(slopes: Slopes, share: Share): RoleCost {
  const call = slopes.getCall("sync", 1);
  const renewal = slopes.get("owner, leases: processor");
  const heap = slopes.get("owner, leases: heap");
  const sent = share.requests * share.syncs;
  const answered = computeBusiestShare(share) * TARGET.requestsPerSecond *
    share.syncs;
  const build = (calls: number, replicas: number): Cost => {
    const cost = buildCalls(call, { sent, answered: calls });
    return {
      ...cost,
      processorMs: cost.processorMs + renewal.slope * replicas / US_PER_MS,
      memoryMib: heap.slope * replicas / KIB_PER_MIB,
    };
  };
  return {
    role: "Slots: renew and return",
    mechanism: "batches per shard of which a VM holds leases",
    mean: build(sent, share.replicas),
    busiest: build(answered, share.mostReplicas),
  };
}

function buildPolls(slopes: Slopes, share: Share): RoleCost {
  const load = slopes.getCall("load report", 1);
  const events = EVENTS_PER_REQUEST * TARGET.requestsPerSecond /
    TARGET.replicas;
  const cache = slopes.getCall("cache events", events);
  const ownUs = slopes.get("owner, reports: processor").slope;
  const build = (replicas: number): Cost => ({
    calls: replicas * 2 * POLLS_PER_SECOND,
    processorMs: replicas * POLLS_PER_SECOND *
      (load.client + cache.client + ownUs) / US_PER_MS,
    bytes: replicas * POLLS_PER_SECOND * (load.bytes + cache.bytes),
    memoryMib: 0,
  });
  return {
    role: "Load reports and cache events",
    mechanism: "only a shard's owner polls its replicas, once per second",
    mean: build(share.replicas),
    busiest: build(share.mostReplicas),
  };
}

function buildCommands(slopes: Slopes): RoleCost {
  const load = slopes.getCall("load report", 1);
  const round = slopes.getAt("orders, a round: processor", TARGET.vms);
  const build = (polls: number): Cost => ({
    calls: polls,
    processorMs: (polls * load.client + round * COMMAND_ROUNDS_PER_SECOND) /
      US_PER_MS,
    bytes: polls * load.bytes,
    memoryMib: 0,
  });
  return {
    role: "Commands to engines",
    mechanism: "one controller per pool, chosen by the list; " +
      "at most 20 reports per second",
    mean: build(TARGET.models * COMMAND_POLLS_PER_SECOND / TARGET.vms),
    busiest: build(COMMAND_POLLS_PER_SECOND),
  };
}

function buildProbing(slopes: Slopes, file: SlopeFile): RoleCost {
  const size = `at ${TARGET.vms} VMs`;
  const messages = file.checks[`probing: messages ${size}`]!;
  const ownUs = file.checks[`probing: processor ${size}`]!;
  const heap = file.checks[`probing: heap ${size}`]!;
  // Each call has two messages, each counted as sent and as received.
  const sent = messages / 4;
  const cost = buildCalls(
    slopes.getCall("probe", SUMMARIES_PER_MESSAGE),
    { sent, answered: sent },
  );
  const summaries = slopes.getAt("owner, summary: processor", 0) *
    SUMMARIES_PER_SECOND;
  const mean: Cost = {
    ...cost,
    processorMs: cost.processorMs + (ownUs + summaries) / US_PER_MS,
    memoryMib: heap / KIB_PER_MIB,
  };
  return {
    role: "Membership, summaries",
    mechanism: "SWIM: one probe every 500 ms, gossip and summaries on it",
    mean,
    busiest: mean,
  };
}

function buildConfiguration(slopes: Slopes, share: Share): RoleCost {
  const rate = share.changesPerSecond;
  const probe = slopes.getCall("probe", SUMMARIES_PER_MESSAGE);
  const fetch = slopes.getCall("limit call", 1);
  const step = slopes.getAt(
    "configuration: bytes of a step",
    TARGET.workspaces,
  );
  const probes = buildCalls(probe, {
    sent: rate * FAN_OUT,
    answered: rate * FAN_OUT,
  });
  const fetches = buildCalls(
    { ...fetch, bytes: fetch.bytes + step },
    { sent: rate, answered: rate },
  );
  const applyUs = slopes.getAt(
    "configuration: a change by steps",
    TARGET.workspaces,
  );
  const heap = slopes.getAt("configuration: heap", TARGET.workspaces);
  const mean: Cost = {
    calls: probes.calls + fetches.calls,
    processorMs: probes.processorMs + fetches.processorMs +
      rate * applyUs / US_PER_MS,
    bytes: probes.bytes + fetches.bytes,
    memoryMib: heap / KIB_PER_MIB,
  };
  return {
    role: "Configuration",
    mechanism: "2 watchers per data centre; deltas between VMs",
    mean,
    busiest: mean,
  };
}

function buildLists(slopes: Slopes, share: Share): RoleCost {
  const rate = share.listsPerSecond;
  const bytes = slopes.getAt("membership list: bytes", TARGET.replicas);
  const parseUs = slopes.getAt("membership list: processor", TARGET.replicas);
  const heap = slopes.getAt("membership list: heap", TARGET.replicas);
  const mean: Cost = {
    calls: rate,
    processorMs: rate * parseUs / US_PER_MS,
    bytes: rate * ENDS * bytes,
    memoryMib: heap / KIB_PER_MIB,
  };
  return {
    role: "Membership list",
    mechanism: "the watchers read it; full lists between VMs",
    mean,
    busiest: mean,
  };
}

function buildLimits(slopes: Slopes, share: Share): RoleCost {
  const sent = share.requests;
  const ownUs = slopes.getAt("limits: processor", TARGET.workspaces);
  const held = Math.min(TARGET.workspaces, sent * LIMIT_TTL_S);
  const cost = buildCalls(slopes.getCall("limit call", 1), {
    sent,
    answered: sent,
    ownUs,
  });
  const memoryMib = slopes.get("limits: heap").slope * held / KIB_PER_MIB;
  const mean: Cost = { ...cost, memoryMib };
  return {
    role: "Workspaces' limits",
    mechanism: "each workspace's owner leases chunks of its limits",
    mean,
    busiest: mean,
  };
}

function buildClaims(slopes: Slopes, share: Share): RoleCost {
  const sent = 2 * ISSUED_ID_SHARE * share.requests;
  const ownUs = slopes.getAt("run claims: processor", MAX_CLAIMS);
  // A claim and its settlement are calls of the same size as a limit call.
  const cost = buildCalls(slopes.getCall("limit call", 1), {
    sent,
    answered: sent,
    ownUs,
  });
  const heap = slopes.getAt("run claims: heap", MAX_CLAIMS);
  const mean: Cost = { ...cost, memoryMib: heap / KIB_PER_MIB };
  return {
    role: "Execution claims",
    mechanism: "at the VM that issued the id; at most 50,000 claims",
    mean,
    busiest: mean,
  };
}

function buildOwnership(slopes: Slopes, share: Share): RoleCost {
  const rounds = slopes.getAt("ownership rounds: processor", TARGET.replicas);
  const choice = slopes.getAt("shard choice: processor", TARGET.replicas);
  const mean: Cost = {
    calls: 0,
    processorMs: (rounds + share.requests * choice) / US_PER_MS,
    bytes: 0,
    memoryMib: 0,
  };
  return {
    role: "Finding shards and owners",
    mechanism: "each VM computes them from the list, without messages",
    mean,
    busiest: mean,
  };
}

function buildFigures(slopes: Slopes, share: Share): RoleCost {
  const finished = slopes.getAt("figures: processor", MAX_ENTRIES);
  const heap = slopes.getAt("figures: heap", MAX_ENTRIES);
  const mean: Cost = {
    calls: 0,
    processorMs: share.requests * finished / US_PER_MS,
    bytes: 0,
    memoryMib: heap / KIB_PER_MIB,
  };
  return {
    role: "Figures and burn series",
    mechanism: "each VM keeps its own; at most 1,000 classes of workspaces",
    mean,
    busiest: mean,
  };
}

function buildRequestRecords(slopes: Slopes): RoleCost {
  const statusRecords = slopes.getAt("fate store: heap", MAX_STATUS_RECORDS);
  const mean: Cost = {
    calls: 0,
    processorMs: 0,
    bytes: 0,
    memoryMib: statusRecords / KIB_PER_MIB + MAX_ANSWERS_MIB,
  };
  return {
    role: "Request status and retained answers",
    mechanism: "20,000 records and 32 MiB of answers at each VM",
    mean,
    busiest: mean,
  };
}

/** Computes the share of all replicas owned by the busiest VM. */
function computeBusiestShare(share: Share): number {
  return share.mostReplicas / TARGET.replicas;
}
