/**
 * The configuration records as used internally, independent of the schema
 * version that they were published in.
 *
 * @module
 */
import type {
  ClassName,
  ModelName,
  PoolName,
  Region,
  TierName,
  WorkspaceName,
} from "../ids.ts";

/** A service tier; rank 0 is the highest. */
export interface Tier {
  kind: "tier";
  name: TierName;
  rank: number;
  /** The share of a shard's slots that the tier may hold at once, 0 to 1. */
  maxSlotShare: number;
}

/** A class of requests with its latency targets and guarantees. */
export interface RequestClass {
  kind: "request_class";
  name: ClassName;
  tier: TierName;
  targets: {
    firstTokenMs: number;
    betweenTokensMs: number;
    /** From arrival to the last byte. */
    totalMs: number;
    /** Longest pause between two outputs; undefined for no such target. */
    longestPauseMs?: number | undefined;
    /**
     * Of a call without output, from arrival to its answer; undefined where only
     * `totalMs` applies.
     */
    answerMs?: number | undefined;
  };
  /**
   * Client timeout in milliseconds: silence on a stream after which callers
   * disconnect; undefined if unknown.
   */
  patienceMs?: number | undefined;
  /** Whether an answer that misses its target is still useful. */
  lateIsUseful: boolean;
  idempotent: boolean;
  /** Minimum share of slot time that the class gets while requests wait. */
  minShare: number;
  /** Maximum wait of the request at the head of the class's queue. */
  maxWaitMs: number;
  /** Maximum number of the class's requests that wait in one shard. */
  queueLimit: number;
  /**
   * Limit on generated tokens; also the length estimate until output lengths
   * have been observed.
   */
  maxOutputTokens: number;
  /** Share of requests that should meet their targets, for example 0.95. */
  objective: number;
}

/** A customer of the operator, with its API keys and limits. */
export interface Workspace {
  kind: "workspace";
  name: WorkspaceName;
  /** SHA-256 of each valid key, in hexadecimal. */
  keyHashes: string[];
  defaultClass: ClassName;
  /** Classes that the workspace may request. */
  classes: ClassName[];
  /** Fair-share weight relative to other workspaces of a class. */
  weight: number;
  limits: {
    requestsPerMinute: number;
    tokensPerMinute: number;
  };
  /** Objectives by class name that override those of the classes. */
  objectives: Record<string, number>;
  /**
   * Orders calls on routes of equal priority; 0 is the most urgent. Undefined
   * ranks last.
   */
  priority?: number;
  /** Regions whose upstreams may get its calls; undefined for any. */
  allowedRegions?: Region[] | undefined;
}

/** A model that a pool should serve. */
export interface PoolModel {
  model: ModelName;
  version: string;
  adapters: string[];
  /** Number of replicas that should have it loaded. */
  replicas: number;
}

/** Load limit of a replica while it warms up after its start. */
export interface WarmUp {
  /** Duration of the warm-up from the replica's start, in milliseconds. */
  ms: number;
  /** Maximum request rate during the warm-up. */
  requestsPerS: number;
}

/** A set of interchangeable upstreams: model engines or a plain service. */
export interface UpstreamPool {
  kind: "upstream_pool";
  name: PoolName;
  type: "model" | "service";
  /** Empty for a plain service. */
  models: PoolModel[];
  /** Shards of the pool, each with one owner; at most 32 upstreams each. */
  shards: number;
  slots: {
    /** Slots of an upstream whose capacity has not been measured yet. */
    initial: number;
    min: number;
    max: number;
  };
  /** Role that the engines should take; undefined lets each engine choose. */
  role?: string | undefined;
  /** Whether the engines reject commands with an outdated fencing number. */
  fencing: "checked" | "ignored";
  timeouts: {
    firstByteMs: number;
    betweenBytesMs: number;
    totalMs: number;
  };
  /** For a plain service: class of calls that name none. */
  defaultClass: ClassName | undefined;
  /** Undefined if replicas sustain their full load immediately. */
  warmUp?: WarmUp | undefined;
}

/** The operator's weights and budgets for the whole system. */
export interface Policy {
  kind: "policy";
  name: string;
  weights: {
    wastedWork: number;
    goodput: number;
    attainment: number;
  };
  /** Retries allowed as a share of first attempts, for example 0.1. */
  retryShare: number;
  /** Whether running idempotent work may be preempted and resumed. */
  preemption: boolean;
  /** Model loads per minute that the weight store sustains for the fleet. */
  weightStoreOrdersPerMinute: number;
}

/** Any record. */
export type ConfigRecord =
  | Tier
  | RequestClass
  | Workspace
  | UpstreamPool
  | Policy;

/** One accepted configuration; immutable. */
export interface Snapshot {
  /** Orders snapshots: every VM prefers the highest version. */
  version: number;
  tiers: ReadonlyMap<TierName, Tier>;
  classes: ReadonlyMap<ClassName, RequestClass>;
  workspaces: ReadonlyMap<WorkspaceName, Workspace>;
  pools: ReadonlyMap<PoolName, UpstreamPool>;
  policy: Policy;
  /** Workspaces by the hexadecimal SHA-256 of their keys. */
  workspaceByKeyHash: ReadonlyMap<string, Workspace>;
  /** Pools by the models that they should serve. */
  poolsByModel: ReadonlyMap<ModelName, UpstreamPool[]>;
}

/**
 * Returns the rank of a class's tier, where lower ranks are served first; the
 * largest safe integer for an unknown class or tier.
 */
export function getClassRank(snapshot: Snapshot, name: ClassName): number {
  const requestClass = snapshot.classes.get(name);
  const tier = requestClass && snapshot.tiers.get(requestClass.tier);
  return tier?.rank ?? Number.MAX_SAFE_INTEGER;
}
