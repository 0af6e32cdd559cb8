/**
 * What a request's task asks of its process: slots, limits and claims.
 *
 * @module
 */
import type { Endpoint } from "../connection/endpoint.ts";
import type {
  ClassName,
  Incarnation,
  LeaseId,
  ModelName,
  PoolName,
  Region,
  RequestFingerprint,
  RequestId,
  VmId,
  WorkspaceName,
} from "../ids.ts";
import type { RunOutcome } from "../outcome.ts";
import type { RequestStep } from "../request/request_status.ts";
import type { UpstreamSignals } from "../request/upstream_signals.ts";
import type { ClaimAnswer, LeaseUpdate } from "./peer_api.ts";

/** What a request needs from a pool. */
export interface LeaseRequest {
  requestId: RequestId;
  /** 1 for the first try. */
  attempt: number;
  workspace: WorkspaceName;
  className: ClassName;
  pool: PoolName;
  model: ModelName | undefined;
  adapter: string | undefined;
  /** `Clock.now()` of this VM at the request's arrival. */
  arrivedAt: number;
  /** `Clock.now()` of this VM at which its total target ends. */
  deadlineAt: number;
  promptTokens: number;
  maxTokens: number;
  doneTokens: number;
  idempotent: boolean;
  prefixes: string[];
  /** Tokens of each part of the prompt, alike in order to `prefixes`. */
  partTokens?: number[];
  /** Whether the work is a stream that long prompts beside it would spoil. */
  isInteractive?: boolean;
  /** Its target for the first output, in milliseconds from now. */
  firstOutputMs?: number;
  /** Its caller leaves after so long without output, in milliseconds. */
  clientTimeoutMs?: number | undefined;
  /** For the engine's own queue; 0 is the most urgent. */
  priority?: number;
  /** The same while it can not be in time any more. */
  latePriority?: number;
  /** Upstreams elsewhere must not get it; undefined where any may. */
  regions?: Region[] | undefined;
  /** Whether it may be what crashes replicas. */
  isSuspect?: boolean;
  avoid: VmId[];
}

/** How far the work under a lease has come. */
export interface LeaseProgress {
  tokens: number;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
}

/** A slot in this VM's hands. */
export abstract class HeldLease {
  abstract readonly lease: LeaseId;
  abstract readonly upstream: VmId;
  abstract readonly priority: number;
  /** Which life of the upstream has the work, where that is known. */
  readonly upstreamIncarnation?: Incarnation;
  /** What decided for this upstream, for the log. */
  readonly reason?: string;
  /** Another upstream that can hand over parts of the prompt. */
  readonly fetchFrom?: Endpoint | undefined;
  /** Aborts when the owner takes the slot back for a higher tier. */
  abstract readonly preempted: AbortSignal;
  /**
   * Whether the lease still stands by the monotonic clock. Ask before each
   * send: a process that was paused finds out here.
   */
  abstract isValid(): boolean;
  /**
   * Whether the upstream is seen to live, by any work there: then silence on
   * this lease's call is a queue, and not a failure.
   */
  isUpstreamAlive(): boolean {
    return false;
  }

  abstract noteProgress(progress: LeaseProgress): void;
  /** Takes in what the upstream asks in its answer. */
  noteSignals(_signals: UpstreamSignals): void {}
  /** Gives the slot back; the first call counts. */
  abstract release(
    state: Exclude<LeaseUpdate["state"], "running">,
    progress: LeaseProgress,
  ): void;
}

/** Where slots come from. */
export abstract class LeaseSource {
  /**
   * Waits in the shard owner's queue for a slot. Throws `RefusalError`
   * (`not_run`) when refused; an aborted `signal` withdraws the ticket and
   * throws `RefusalError` with code `cancelled`. `onStep` hears of queueing.
   */
  abstract acquire(
    request: LeaseRequest,
    options: { signal: AbortSignal; onStep: (step: RequestStep) => void },
  ): Promise<HeldLease>;
}

/** Fleet-wide limits of workspaces. */
export abstract class LimitSource {
  /**
   * Takes one request and `tokens` from the workspace's limits. Throws
   * `RefusalError` (`rate_limited`, `not_run`, with a true retry-after).
   */
  abstract admit(workspace: WorkspaceName, tokens: number): Promise<void>;
  /** Corrects an estimate once the real number of tokens is known. */
  abstract settle(
    workspace: WorkspaceName,
    counts: { estimated: number; actual: number },
  ): void;
}

/** The one run of each request id. */
export abstract class ExecutionClaims {
  /** A new id that names this VM and incarnation, to be submitted later. */
  abstract issueId(): RequestId;
  /**
   * A new id for work that begins at once. It cannot be submitted again, so
   * nothing has to be remembered of it.
   */
  abstract issueSingleUseId(): RequestId;
  /**
   * Claims the one run at the VM that issued the id; `unreachable` when that
   * VM or incarnation cannot be asked, and then nothing may run.
   */
  abstract claimExecution(
    requestId: RequestId,
  ): Promise<
    | Exclude<ClaimAnswer, { kind: "granted" }>
    | { kind: "granted"; isStanding: () => boolean }
    | { kind: "unreachable"; issuer: VmId; why: string }
  >;
  /** Reports the run's outcome to the issuing VM; retried in the background. */
  abstract settleExecution(
    requestId: RequestId,
    outcome: RunOutcome | "answered",
  ): void;
}

/** A share of first tries that may be retried, so that retries cannot pile. */
export abstract class RetryBudget {
  abstract noteFirstAttempt(pool: PoolName): void;
  /** Whether `takeRetry` would succeed now. */
  abstract hasRetry(pool: PoolName): boolean;
  /** Takes one retry, or returns false when the budget is spent. */
  abstract takeRetry(pool: PoolName): boolean;
}

/** A replica whose connection broke under a request. */
export interface DisconnectedReplica {
  id: VmId;
  incarnation: Incarnation | undefined;
  /** Whether the request had any output from it. */
  hadOutput: boolean;
}

/** Requests that are kept from replicas because replicas crash under them. */
export abstract class Quarantine {
  /** How long a request must not be sent, in milliseconds; 0 if it may. */
  abstract getQuarantineMs(fingerprint: RequestFingerprint): number;
  /** Whether it may be what crashed the replicas that it was in flight at. */
  abstract isSuspect(fingerprint: RequestFingerprint): boolean;
  /**
   * Takes in that a replica's connection broke under the request; resolves once
   * it is known whether the replica crashed. Never rejects.
   */
  abstract noteConnectionLoss(
    fingerprint: RequestFingerprint,
    replica: DisconnectedReplica,
  ): Promise<void>;
  /** Takes in that a replica answered it whole. */
  abstract noteAnswered(fingerprint: RequestFingerprint): void;
}

/** Figures of finished requests. */
export abstract class RequestMetrics {
  abstract noteStep(className: ClassName, step: string, ms: number): void;
  abstract noteFinished(figures: FinishedRequest): void;
}

/** One finished request, for metrics and the burn report. */
export interface FinishedRequest {
  requestId: RequestId;
  workspace: WorkspaceName;
  className: ClassName;
  pool: PoolName | undefined;
  upstream: VmId | undefined;
  result: "met" | "late" | "refused" | "lost" | "cancelled";
  /** The step that spent the target or refused. */
  step: string;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  totalMs: number;
  tokens: number;
  /** Tokens generated and thrown away. */
  wastedTokens: number;
}
