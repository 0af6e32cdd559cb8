/**
 * The protocol between entry VMs.
 *
 * All times are ages or durations in milliseconds, never clock times, so the
 * clocks of the VMs need not agree.
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
import type { ExecutionOutcome, Refusal } from "../outcome.ts";
import type { RequestStatus } from "../request/request_status.ts";
import type {
  CrashReport,
  PartAnswer,
  SuspectEntry,
} from "./quarantine/suspect_entry.ts";

/** Identity of the calling VM. */
export interface PeerIdentity {
  vm: VmId;
  incarnation: Incarnation;
}

/** Requests a slot from a shard's owner, or renews a queued request's ticket. */
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
  /** Time left until the total target of the request. */
  deadlineInMs: number;
  promptTokens: number;
  /** Maximum number of generated tokens that the caller allows. */
  maxTokens: number;
  /** Tokens already delivered to the caller when a broken stream resumes. */
  doneTokens: number;
  idempotent: boolean;
  /** Hashes of the prompt's growing prefixes, shortest first. */
  prefixes: string[];
  /** Upstreams that must not be chosen again for this request. */
  avoid: VmId[];
  /** Time for which the owner may hold the call before it answers `queued`. */
  holdMs: number;
}

/** Lease of a slot on one replica. */
export interface SlotLease {
  lease: LeaseId;
  shard: ShardId;
  upstream: VmId;
  /**
   * Time until the lease expires unless renewed, from when it was requested.
   */
  ttlMs: number;
  /** Priority to forward to the engine; lower goes first. */
  priority: number;
  /** True if an owner granted the lease, false for a VM's local share. */
  byOwner: boolean;
}

/** Answer of the owner to an `AcquireCall`. */
export type AcquireAnswer =
  | { kind: "granted"; lease: SlotLease }
  | { kind: "queued"; ahead: number; behind: string; expectedMs: number }
  | { kind: "refused"; refusal: Refusal }
  | { kind: "not_owner"; owner: VmId | undefined }
  | { kind: "pass_on"; shard: ShardId };

/** Limit on requests a second that an upstream's answer named. */
export interface RateLimitUpdate {
  /** Undefined if the answer named no limit. */
  requestsPerS?: number;
  /** Time since the answer. */
  ageMs: number;
}

/** Report of a lease's holder to its owner. */
export interface LeaseUpdate {
  lease: LeaseId;
  ticket: TicketId;
  upstream: VmId;
  className: ClassName;
  workspace: WorkspaceName;
  idempotent: boolean;
  /** Running leases are renewed; all other states release the slot. */
  state: "running" | "done" | "failed" | "cancelled" | "unused";
  promptTokens: number;
  tokens: number;
  /** Time from sending to the first token, once known. */
  firstTokenMs: number | undefined;
  /** Mean time between tokens since the last update, once known. */
  betweenTokensMs: number | undefined;
  /** Rate limit in the answer under this lease, once known. */
  rateLimit?: RateLimitUpdate | undefined;
  /** Remaining time for which the upstream's refusal asked for no requests. */
  backOffMs?: number | undefined;
}

/** Renews, releases and re-announces leases, many in one call. */
export interface SyncCall {
  from: PeerIdentity;
  shard: ShardId;
  news: LeaseUpdate[];
  /** Tickets whose callers disconnected. */
  withdrawn: TicketId[];
}

/** Answer of the owner to a `SyncCall`. */
export interface SyncAnswer {
  isOwner: boolean;
  /** Leases to stop and resume elsewhere, to free slots for a higher tier. */
  preempt: LeaseId[];
}

/** Load of a shard as its owner announces it to the fleet. */
export interface ShardSummary {
  shard: ShardId;
  owner: VmId;
  /** Free slots now. */
  room: number;
  slots: number;
  /** Number of waiting requests by tier rank. */
  waitingByRank: Record<number, number>;
  /** The largest rank (lowest tier) that is running or waiting. */
  lowestRank: number;
  /** Expected wait of a new request of the lowest tier. */
  expectedWaitMs: number;
  /** Increases with each summary of one incarnation. */
  sequence: number;
  /** Incarnation of the owner that `sequence` belongs to. */
  incarnation?: Incarnation | undefined;
}

/** Change of a member's state. */
export interface MemberUpdate {
  vm: VmId;
  incarnation: Incarnation;
  state: "alive" | "suspect" | "dead" | "draining";
  /** A larger number replaces a smaller one of the same incarnation. */
  counter: number;
}

/** SWIM probe with piggybacked updates. */
export interface ProbeCall {
  from: PeerIdentity;
  /** The sender's own counter, which it increases to refute a suspicion. */
  counter: number;
  draining: boolean;
  members: MemberUpdate[];
  summaries: ShardSummary[];
  configVersion: number;
  /** Distinguishes two contents with the same version number. */
  configDigest?: string;
  /** Source or VM from which the sender got that version. */
  configFrom?: string;
  listRevision: number;
  /** Time since the list was last known to be the newest published. */
  listAgeMs?: number;
}

/** Answer to a probe: the same fields, filled in by the probed VM. */
export type ProbeAnswer = ProbeCall;

/** Requests a configuration newer than `after`. */
export interface SnapshotCall {
  from: PeerIdentity;
  after: number;
  /** Digest of the caller's configuration at `after`. */
  digest?: string;
  /** Revision of the caller's list; a newer list is part of the answer. */
  listAfter: number;
  /** Whether deltas from `digest` are accepted in place of all records. */
  takesSteps?: boolean;
}

/** Records to remove at an index and records to insert there. */
export interface RecordSplice {
  at: number;
  remove: number;
  add: unknown[];
}

/** Changes that turn the records of one digest into those of another. */
export interface ConfigurationDelta {
  from: string;
  to: string;
  /** Applied in order; each index counts after the splices before it. */
  splices: RecordSplice[];
}

/** Raw records as published, so that every VM validates them itself. */
export interface SnapshotAnswer {
  version: number;
  /** Undefined if there is nothing newer, or if `steps` lead to it. */
  records: unknown[] | undefined;
  /**
   * Deltas from the caller's configuration, oldest first, if it accepts them.
   */
  steps?: ConfigurationDelta[];
  list: unknown | undefined;
}

/** Requests a chunk of a workspace's limit from its owner. */
export interface LimitCall {
  from: PeerIdentity;
  workspace: WorkspaceName;
  /** Wanted requests and tokens. */
  requests: number;
  tokens: number;
}

/** The granted chunk, which may be smaller than requested. */
export interface LimitAnswer {
  isOwner: boolean;
  requests: number;
  tokens: number;
  ttlMs: number;
  /**
   * Time after which more may be available, if the chunk is smaller than
   * requested.
   */
  retryAfterMs: number;
}

/** Claims the execution of a request id at the VM that issued the id. */
export interface ClaimCall {
  from: PeerIdentity;
  requestId: RequestId;
  /** Repeats of one claim have the same nonce and get the same answer. */
  nonce: string;
}

/** Whether the claiming VM may execute the request. */
export type ClaimAnswer =
  | {
    kind: "granted";
    /** The request must be sent within this time of the call. */
    ttlMs: number;
  }
  | {
    kind: "taken";
    /** VM of the first execution. */
    runner: VmId;
    outcome: ExecutionOutcome | "running" | "answered";
  }
  | { kind: "unknown_id" };

/** Reports the outcome of a claimed execution to the issuing VM. */
export interface SettleCall {
  from: PeerIdentity;
  requestId: RequestId;
  nonce: string;
  outcome: ExecutionOutcome | "answered";
}

/** Requests the status of a request. */
export interface RequestStatusCall {
  requestId: RequestId;
  /** Whether to include the retained answer. */
  withAnswer: boolean;
}

/** Complete answer, retained for resubmission if it was small enough. */
export interface RetainedAnswer {
  status: number;
  headers: Record<string, string>;
  bodyBase64: string;
}

/** What one VM knows of a request. */
export interface RequestStatusAnswer {
  fate: RequestStatus | undefined;
  answer: RetainedAnswer | undefined;
  /** Set by the VM that issued the id: whether the id is unclaimed now. */
  isFree?: boolean;
}

/** Transfers a shard's queue and leases to its next owner during a drain. */
export interface HandOverCall {
  from: PeerIdentity;
  shard: ShardId;
  waiters: AcquireCall[];
  leases: LeaseUpdate[];
}

/** Evidence against requests under which replicas crashed. */
export interface SuspectsCall {
  from: PeerIdentity;
  entries: SuspectEntry[];
  /** Undefined from older versions. */
  reports?: CrashReport[] | undefined;
  /** Undefined from older versions. */
  answers?: PartAnswer[] | undefined;
}

/** Mergeable statistics of one VM, for the error budget report. */
export interface StatsAnswer {
  vm: VmId;
  incarnation: Incarnation;
  upMs: number;
  configVersion: number;
  /** Opaque to this module; src/process/burn_stats.ts parses it. */
  series: unknown;
}

/** Calls that an entry VM answers; also the interface of a remote VM. */
export abstract class PeerApi {
  abstract acquire(call: AcquireCall): Promise<AcquireAnswer>;
  abstract syncLeases(call: SyncCall): Promise<SyncAnswer>;
  abstract probe(call: ProbeCall): Promise<ProbeAnswer>;
  /** Probes `target` on behalf of a VM that cannot reach it. */
  abstract probeVia(target: VmId, call: ProbeCall): Promise<boolean>;
  abstract fetchSnapshot(call: SnapshotCall): Promise<SnapshotAnswer>;
  abstract leaseLimit(call: LimitCall): Promise<LimitAnswer>;
  abstract claimRun(call: ClaimCall): Promise<ClaimAnswer>;
  abstract settleRun(call: SettleCall): Promise<void>;
  abstract findFate(call: RequestStatusCall): Promise<RequestStatusAnswer>;
  abstract handOver(call: HandOverCall): Promise<boolean>;
  abstract collectStats(): Promise<StatsAnswer>;
  /** Resolves to the entries for which the caller lacks newer evidence. */
  abstract noteSuspects(call: SuspectsCall): Promise<SuspectEntry[]>;
  /** Whether the asked VM reaches an upstream now. */
  abstract checkReach(upstream: VmId): Promise<boolean>;
}

/** Finds the client of another VM. */
export abstract class PeerDirectory {
  /**
   * The client of `vm`. Its calls reject with a `StepError` if the VM does not
   * answer in time, is not listed, or refuses the credential.
   */
  abstract getPeer(vm: VmId): PeerApi;
}
