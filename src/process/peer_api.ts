/**
 * What one entry VM asks of another: the whole protocol between them.
 *
 * Every time here is an age or a duration in milliseconds, never a clock time:
 * the VMs' clocks need not agree.
 *
 * @module
 */
import type {
  ClassName,
  Incarnation,
  LeaseId,
  ModelName,
  RequestId,
  ShardId,
  TicketId,
  VmId,
  WorkspaceName,
} from "../ids.ts";
import type { Refusal, RunOutcome } from "../outcome.ts";
import type { RequestStatus } from "../request/request_status.ts";
import type { SuspectEntry } from "./quarantine/index.ts";

/** Who calls. */
export interface PeerIdentity {
  vm: VmId;
  incarnation: Incarnation;
}

/** Asks a shard's owner for a slot, or renews the place in its queue. */
export interface AcquireCall {
  from: PeerIdentity;
  shard: ShardId;
  ticket: TicketId;
  requestId: RequestId;
  workspace: WorkspaceName;
  className: ClassName;
  /** Undefined for a plain service. */
  model: ModelName | undefined;
  adapter: string | undefined;
  /** Time since the request arrived at the system. */
  ageMs: number;
  /** Time left until its total target. */
  deadlineInMs: number;
  promptTokens: number;
  /** Cap on generated tokens that the caller gave. */
  maxTokens: number;
  /** Tokens that the caller already has, when a broken stream resumes. */
  doneTokens: number;
  idempotent: boolean;
  /** Hashes of the prompt's growing prefixes, shortest first. */
  prefixes: string[];
  /** Upstreams that this request must not get again. */
  avoid: VmId[];
  /** How long the owner may hold the call before it answers `queued`. */
  holdMs: number;
}

/** A slot on one replica. */
export interface SlotLease {
  lease: LeaseId;
  shard: ShardId;
  upstream: VmId;
  /** How long the lease stands unless renewed, from when it was asked for. */
  ttlMs: number;
  /** The priority to pass on to the engine; lower goes first. */
  priority: number;
  /** True where an owner granted it, false for a VM's local share. */
  byOwner: boolean;
}

/** The owner's answer to an `AcquireCall`. */
export type AcquireAnswer =
  | { kind: "granted"; lease: SlotLease }
  | { kind: "queued"; ahead: number; behind: string; expectedMs: number }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "not_owner"; owner: VmId | undefined }
  | { kind: "pass_on"; shard: ShardId };

/** The limit on requests a second that an upstream's answer named. */
export interface RateLimitUpdate {
  /** Left out where it named none. */
  requestsPerS?: number;
  /** Time since the answer. */
  ageMs: number;
}

/** What the holder of a lease tells its owner. */
export interface LeaseUpdate {
  lease: LeaseId;
  ticket: TicketId;
  upstream: VmId;
  className: ClassName;
  workspace: WorkspaceName;
  idempotent: boolean;
  /** Running leases are renewed; the others give the slot back. */
  state: "running" | "done" | "failed" | "cancelled" | "unused";
  promptTokens: number;
  tokens: number;
  /** Time from sending to the first token, once known. */
  firstTokenMs: number | undefined;
  /** Mean time between tokens since the last news, once known. */
  betweenTokensMs: number | undefined;
  /** What the answer under the lease told, once known. */
  rateLimit?: RateLimitUpdate | undefined;
  /** How much longer the upstream wants nothing, by its refusal. */
  backOffMs?: number | undefined;
}

/** Renews, returns and re-announces leases, many in one call. */
export interface SyncCall {
  from: PeerIdentity;
  shard: ShardId;
  news: LeaseUpdate[];
  /** Tickets whose callers went away. */
  withdrawn: TicketId[];
}

/** The owner's answer to a `SyncCall`. */
export interface SyncAnswer {
  isOwner: boolean;
  /** Leases to stop and resume elsewhere, to make room for a higher tier. */
  preempt: LeaseId[];
}

/** What a shard's owner lets the fleet know of it. */
export interface ShardSummary {
  shard: ShardId;
  owner: VmId;
  /** Free slots now. */
  room: number;
  slots: number;
  /** Requests waiting, by tier rank. */
  waitingByRank: Record<number, number>;
  /** The largest rank (lowest tier) that is running or waiting. */
  lowestRank: number;
  /** Expected wait of a new request of the lowest tier. */
  expectedWaitMs: number;
  /** Increases with each summary of one incarnation. */
  sequence: number;
  /** The life of the owner's process that `sequence` counts in. */
  incarnation?: Incarnation | undefined;
}

/** A change in what a VM believes of another. */
export interface MemberUpdate {
  vm: VmId;
  incarnation: Incarnation;
  state: "alive" | "suspect" | "dead" | "draining";
  /** A larger number replaces a smaller one of the same incarnation. */
  counter: number;
}

/** A SWIM probe with piggybacked changes. */
export interface ProbeCall {
  from: PeerIdentity;
  /** Counts the prober's incarnations' news. */
  counter: number;
  draining: boolean;
  members: MemberUpdate[];
  summaries: ShardSummary[];
  configVersion: number;
  /** Tells two contents under one version number apart. */
  configDigest?: string;
  /** From whom the sender has that version. */
  configFrom?: string;
  listRevision: number;
  /** Time since the list was last known to be the newest published. */
  listAgeMs?: number;
}

/** The answer to a probe: what the prober sent, of the one that answers. */
export type ProbeAnswer = ProbeCall;

/** Asks for a configuration newer than `after`. */
export interface SnapshotCall {
  from: PeerIdentity;
  after: number;
  /** The digest of what the asker has at `after`. */
  digest?: string;
  /** The asker's list revision; a newer list comes along. */
  listAfter: number;
  /** Whether steps from `digest` will do in place of all records. */
  takesSteps?: boolean;
}

/** Records to take out at a place, and others to put there. */
export interface RecordSplice {
  at: number;
  remove: number;
  add: unknown[];
}

/** What turns the records of one digest into those of another. */
export interface ConfigurationStep {
  from: string;
  to: string;
  /** One after the other; each place counts after the ones before it. */
  splices: RecordSplice[];
}

/** Raw records as published, so that every VM validates them itself. */
export interface SnapshotAnswer {
  version: number;
  /** Undefined where there is nothing newer, or where steps lead to it. */
  records: unknown[] | undefined;
  /** From what the asker has, oldest first, where it takes them. */
  steps?: ConfigurationStep[];
  list: unknown | undefined;
}

/** Asks the owner of a workspace's limit for a chunk of it. */
export interface LimitCall {
  from: PeerIdentity;
  workspace: WorkspaceName;
  /** Requests and tokens wanted. */
  requests: number;
  tokens: number;
}

/** The chunk granted, which may be less than asked for. */
export interface LimitAnswer {
  isOwner: boolean;
  requests: number;
  tokens: number;
  ttlMs: number;
  /** When more may be there, if less was granted than asked for. */
  retryAfterMs: number;
}

/** Claims the one run of a request id at the VM that issued the id. */
export interface ClaimCall {
  from: PeerIdentity;
  requestId: RequestId;
  /** Repeats of one claim carry the same nonce and get the same answer. */
  nonce: string;
}

/** Whether the claimer may run the request. */
export type ClaimAnswer =
  | {
    kind: "granted";
    /** Work must be sent within this time of the call. */
    ttlMs: number;
  }
  | {
    kind: "taken";
    /** Where the first run is or was. */
    runner: VmId;
    outcome: RunOutcome | "running" | "answered";
  }
  | { kind: "unknown_id" };

/** Tells the issuing VM how a claimed run ended. */
export interface SettleCall {
  from: PeerIdentity;
  requestId: RequestId;
  nonce: string;
  outcome: RunOutcome | "answered";
}

/** Asks for a request's fate. */
export interface RequestStatusCall {
  requestId: RequestId;
  /** Whether the retained answer should come along. */
  withAnswer: boolean;
}

/** A whole answer kept for resubmission, when it was small enough. */
export interface RetainedAnswer {
  status: number;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** What this VM knows of a request. */
export interface RequestStatusAnswer {
  fate: RequestStatus | undefined;
  answer: RetainedAnswer | undefined;
  /** Said by the VM that issued the id: nobody holds it now. */
  isFree?: boolean;
}

/** Hands a shard's queue on when its owner drains. */
export interface HandOverCall {
  from: PeerIdentity;
  shard: ShardId;
  waiters: AcquireCall[];
  leases: LeaseUpdate[];
}

/** Evidence against requests that replicas crashed under. */
export interface SuspectsCall {
  from: PeerIdentity;
  entries: SuspectEntry[];
}

/** Mergeable figures of one VM, for the report on service-level burn. */
export interface StatsAnswer {
  vm: VmId;
  incarnation: Incarnation;
  upMs: number;
  configVersion: number;
  /** Opaque to this module; src/process/burn_stats.ts reads it. */
  series: unknown;
}

/** One VM's answers to the others; also the interface of a remote VM. */
export abstract class PeerApi {
  abstract acquire(call: AcquireCall): Promise<AcquireAnswer>;
  abstract syncLeases(call: SyncCall): Promise<SyncAnswer>;
  abstract probe(call: ProbeCall): Promise<ProbeAnswer>;
  /** Probes `target` on behalf of a VM that cannot reach it itself. */
  abstract probeVia(target: VmId, call: ProbeCall): Promise<boolean>;
  abstract fetchSnapshot(call: SnapshotCall): Promise<SnapshotAnswer>;
  abstract leaseLimit(call: LimitCall): Promise<LimitAnswer>;
  abstract claimRun(call: ClaimCall): Promise<ClaimAnswer>;
  abstract settleRun(call: SettleCall): Promise<void>;
  abstract findFate(call: RequestStatusCall): Promise<RequestStatusAnswer>;
  abstract handOver(call: HandOverCall): Promise<boolean>;
  abstract collectStats(): Promise<StatsAnswer>;
  /** Resolves to what the caller should know better. */
  abstract noteSuspects(call: SuspectsCall): Promise<SuspectEntry[]>;
}

/** Finds the channel to another VM. */
export abstract class PeerDirectory {
  /**
   * The channel to `vm`. Its calls reject with a `StepError` when the VM does
   * not answer in time, is not listed, or refuses the credential.
   */
  abstract getPeer(vm: VmId): PeerApi;
}
