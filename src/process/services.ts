/**
 * Interfaces of the process's services for requests: leases, limits, claims.
 *
 * @module
 */
import type { Endpoint } from "../connection/endpoint.ts";
import type { UpstreamTransport } from "../connection/upstream_transport.ts";
import type {
  ClassName,
  Incarnation,
  LeaseId,
  ModelName,
  PoolName,
  Region,
  RequestId,
  SoftwareVersion,
  VmId,
  WorkspaceName,
} from "../ids.ts";
import type { ExecutionOutcome, RefusalCode } from "../outcome.ts";
import type { RequestStep } from "../request/request_status.ts";
import type { UpstreamSignals } from "../request/upstream_signals.ts";
import type { ClaimAnswer, LeaseUpdate } from "./peer_api.ts";

/** A request for a lease of a slot in a pool. */
export interface LeaseRequest {
  requestId: RequestId;
  /** The number of the attempt, from 1. */
  attempt: number;
  workspace: WorkspaceName;
  className: ClassName;
  pool: PoolName;
  model: ModelName | undefined;
  adapter: string | undefined;
  /** `Clock.now()` of this VM when the request arrived. */
  arrivedAt: number;
  /** `Clock.now()` of this VM at the request's deadline. */
  deadlineAt: number;
  promptTokens: number;
  maxTokens: number;
  /** The caller's estimate of the output tokens, if it gave one. */
  expectedTokens?: number | undefined;
  doneTokens: number;
  idempotent: boolean;
  prefixes: string[];
  /** Tokens of each part of the prompt, in the order of `prefixes`. */
  partTokens?: number[];
  /**
   * Whether prefills of long prompts on the same replica would stall the
   * stream.
   */
  isInteractive?: boolean;
  /** Target for the first output, in milliseconds from now. */
  firstOutputMs?: number;
  /** Silence after which the caller disconnects, in milliseconds. */
  clientTimeoutMs?: number | undefined;
  /** Priority in the engine's queue; 0 is the most urgent. */
  priority?: number;
  /** Priority once the request can no longer meet its target. */
  latePriority?: number;
  /** Regions whose upstreams may run the request; undefined for any. */
  regions?: Region[] | undefined;
  /** Version of the upstream's software; undefined for any. */
  version?: SoftwareVersion | undefined;
  /** Whether the request is suspected of crashing replicas. */
  isSuspect?: boolean;
  /** Replicas, and VMs that it was passed on to, that must not get it. */
  avoid: VmId[];
  /** Whether another VM passed the request on to this one. */
  isForwarded?: boolean;
}

/** The progress of the work under a lease. */
export interface LeaseProgress {
  tokens: number;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
}

/** A lease held by this VM. */
export abstract class HeldLease {
  abstract readonly lease: LeaseId;
  abstract readonly upstream: VmId;
  abstract readonly priority: number;
  /** The incarnation of the upstream that runs the work, if known. */
  readonly upstreamIncarnation?: Incarnation;
  /** Why this upstream was chosen, for the log. */
  readonly reason?: string;
  /** Set where another VM runs the request: the transport to it. */
  readonly peerTransport?: UpstreamTransport;
  /** Another upstream to fetch cached prompt parts from. */
  readonly fetchFrom?: Endpoint | undefined;
  /** Aborts when the owner preempts the slot for a higher tier. */
  abstract readonly preempted: AbortSignal;
  /**
   * Aborts when the request is taken back from an upstream that leaves and may
   * not have got it; undefined where that never happens.
   */
  get withdrawn(): AbortSignal | undefined {
    return undefined;
  }

  /**
   * Whether the lease has not expired, by the monotonic clock. Check before
   * each send: the process may have been paused past the expiry.
   */
  abstract isValid(): boolean;
  /**
   * Version of the software of the upstream's process that has the work;
   * undefined if it is not known.
   */
  getUpstreamVersion(): SoftwareVersion | undefined {
    return undefined;
  }

  /**
   * Whether any work on the upstream shows that it is alive. Silence on this
   * lease's call then means that it is queued, not that the upstream failed.
   */
  isUpstreamAlive(): boolean {
    return false;
  }

  /**
   * Time for which the upstream may stay silent on all its calls before it
   * counts as failed, in milliseconds; 0 if that has passed.
   */
  computeSilenceLeftMs(): number {
    return 0;
  }

  /** The state that `isValid` is judged by, for the log. */
  formatState(): string | undefined {
    return undefined;
  }

  /** Records that the request is about to be written to the upstream. */
  noteSending(): void {}

  /** Records that the head of the answer was received. */
  noteAnswered(): void {}

  abstract noteProgress(progress: LeaseProgress): void;
  /**
   * Records that the call failed without the upstream saying so. Resolves once
   * it is known whether this VM reaches the upstream; never rejects.
   */
  noteTransportFailure(): Promise<void> {
    return Promise.resolve();
  }

  /** Applies the signals in the upstream's answer. */
  noteSignals(_signals: UpstreamSignals): void {}
  /** Releases the slot; only the first call has an effect. */
  abstract release(
    state: Exclude<LeaseUpdate["state"], "running">,
    progress: LeaseProgress,
  ): void;
}

/** Grants leases of slots. */
export abstract class LeaseSource {
  /**
   * Waits in the shard owner's queue for a slot. Throws `RefusalError`
   * (`not_run`) if refused; an aborted `signal` withdraws the ticket and throws
   * `RefusalError` with code `cancelled`. `onStep` is called on each step in
   * the queue.
   */
  abstract acquire(
    request: LeaseRequest,
    options: { signal: AbortSignal; onStep: (step: RequestStep) => void },
  ): Promise<HeldLease>;
}

/** Rate limits of workspaces across the fleet. */
export abstract class LimitSource {
  /**
   * Charges one request and `tokens` to the workspace's limits. Throws
   * `RefusalError` (`rate_limited`, `not_run`, with an accurate retry-after).
   */
  abstract admit(workspace: WorkspaceName, tokens: number): Promise<void>;
  /** Replaces an estimate once the actual number of tokens is known. */
  abstract settle(
    workspace: WorkspaceName,
    counts: { estimated: number; actual: number },
  ): void;
}

/** Claims that allow at most one execution of each request id. */
export abstract class ExecutionClaims {
  /** Issues an id, naming this VM and incarnation, for a later submission. */
  abstract issueId(): RequestId;
  /**
   * Issues an id for a request that starts at once. It cannot be resubmitted,
   * so no claim is stored for it.
   */
  abstract issueSingleUseId(): RequestId;
  /**
   * Claims the execution at the VM that issued the id. `unreachable` if that VM
   * or incarnation cannot be reached: then the request must not run.
   */
  abstract claimExecution(
    requestId: RequestId,
  ): Promise<
    | Exclude<ClaimAnswer, { kind: "granted" }>
    | { kind: "granted"; isValid: () => boolean }
    | { kind: "unreachable"; issuer: VmId; why: string }
  >;
  /** Reports the outcome to the issuing VM, with retries in the background. */
  abstract settleExecution(
    requestId: RequestId,
    outcome: ExecutionOutcome | "answered",
  ): void;
}

/** Limits retries to a share of first attempts, so that they cannot pile up. */
export abstract class RetryBudget {
  abstract noteFirstAttempt(pool: PoolName): void;
  /** Whether `takeRetry` would succeed now. */
  abstract hasRetry(pool: PoolName): boolean;
  /** Takes one retry from the budget; false if the budget is spent. */
  abstract takeRetry(pool: PoolName): boolean;
}

/** Metrics of finished requests. */
export abstract class RequestMetrics {
  abstract noteStep(className: ClassName, step: string, ms: number): void;
  abstract noteFinished(request: FinishedRequest): void;
  /** Counts a refusal of a request. */
  abstract noteRefused(className: ClassName, code: RefusalCode): void;
  /** Counts an answer that an upstream broke off and ended in order. */
  abstract noteTruncated(className: ClassName): void;
}

/** The measurements of one finished request. */
export interface FinishedRequest {
  requestId: RequestId;
  workspace: WorkspaceName;
  className: ClassName;
  pool: PoolName | undefined;
  upstream: VmId | undefined;
  result: "met" | "late" | "refused" | "lost" | "cancelled";
  /** The phase that took longest, or the one in which it was refused. */
  step: string;
  firstTokenMs: number | undefined;
  betweenTokensMs: number | undefined;
  /** The longest time between two outputs that were sent to the caller. */
  longestPauseMs?: number | undefined;
  totalMs: number;
  tokens: number;
  /** Tokens that were generated and discarded. */
  wastedTokens: number;
}
