/**
 * The configuration records in the one shape that the code works with,
 * whatever schema version they were written in.
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

/** A class of requests with its latency targets and its promises. */
export interface RequestClass {
  kind: "request_class";
  name: ClassName;
  tier: TierName;
  targets: {
    firstTokenMs: number;
    betweenTokensMs: number;
    /** From arrival to the last byte. */
    totalMs: number;
  };
  /**
   * Callers leave a stream that is silent for so long, in milliseconds;
   * undefined where nothing is known of it.
   */
  patienceMs?: number | undefined;
  /** Whether an answer past its target is still worth having. */
  lateIsUseful: boolean;
  idempotent: boolean;
  /** The least share of slot time that the class gets while it waits. */
  minShare: number;
  /** The stated bound on the wait of the request at the head of the class. */
  maxWaitMs: number;
  /** Requests of the class that may wait in one shard. */
  queueLimit: number;
  /** A cap on generated tokens, and the cold-start guess of the length. */
  maxOutputTokens: number;
  /** Share of requests that should meet their targets, for example 0.95. */
  objective: number;
}

/** A customer of the operator, with its keys and limits. */
export interface Workspace {
  kind: "workspace";
  name: WorkspaceName;
  /** SHA-256 of each valid key, in hexadecimal. */
  keyHashes: string[];
  defaultClass: ClassName;
  /** The classes that the workspace may ask for. */
  classes: ClassName[];
  /** Its share against other workspaces of a class. */
  weight: number;
  limits: {
    requestsPerMinute: number;
    tokensPerMinute: number;
  };
  /** Objectives that replace those of a class, for this workspace. */
  objectives: Record<string, number>;
  /** Goes before the priority of a route; 0 is the most urgent. */
  priority?: number;
  /** Upstreams elsewhere must not get its calls; undefined for any. */
  allowedRegions?: Region[] | undefined;
}

/** A model that a pool should hold. */
export interface PoolModel {
  model: ModelName;
  version: string;
  adapters: string[];
  /** Replicas that should hold it. */
  replicas: number;
}

/** What a replica bears while it warms up after its start. */
export interface WarmUp {
  /** Milliseconds from its start. */
  ms: number;
  /** Requests that it can be sent in a second. */
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
    /** Slots that an upstream gets before anything is known of it. */
    initial: number;
    min: number;
    max: number;
  };
  /** The role that the engines should have; undefined leaves it to them. */
  role?: string | undefined;
  /** Whether the engines refuse an order with an old fencing number. */
  fencing: "checked" | "ignored";
  timeouts: {
    firstByteMs: number;
    betweenBytesMs: number;
    totalMs: number;
  };
  /** For a plain service: the class of its calls when none is named. */
  defaultClass: ClassName | undefined;
  /** Undefined where replicas bear their full load at once. */
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
  /** Retries allowed as a share of first tries, for example 0.1. */
  retryShare: number;
  /** Whether running idempotent work may be preempted and resumed. */
  preemption: boolean;
  /** Orders a minute that the weight store bears from the whole fleet. */
  weightStoreOrdersPerMinute: number;
}

/** Any record. */
export type ConfigRecord =
  | Tier
  | RequestClass
  | Workspace
  | UpstreamPool
  | Policy;

/** One whole accepted configuration; never changed after it is built. */
export interface Snapshot {
  /** Orders snapshots: the higher wins, everywhere. */
  version: number;
  tiers: ReadonlyMap<TierName, Tier>;
  classes: ReadonlyMap<ClassName, RequestClass>;
  workspaces: ReadonlyMap<WorkspaceName, Workspace>;
  pools: ReadonlyMap<PoolName, UpstreamPool>;
  policy: Policy;
  /** From a key's SHA-256 in hexadecimal to its workspace. */
  workspaceByKeyHash: ReadonlyMap<string, Workspace>;
  /** From a model to the pools that should hold it. */
  poolsByModel: ReadonlyMap<ModelName, UpstreamPool[]>;
}

/** The rank of a class's tier; lower ranks go first. */
export function getClassRank(snapshot: Snapshot, name: ClassName): number {
  const requestClass = snapshot.classes.get(name);
  const tier = requestClass && snapshot.tiers.get(requestClass.tier);
  return tier?.rank ?? Number.MAX_SAFE_INTEGER;
}
