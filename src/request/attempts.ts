/**
 * Runs attempts at upstreams until the request is answered or refused.
 *
 * @module
 */
import {
  type CallTimeouts,
  UpstreamError,
} from "../connection/upstream_transport.ts";
import { toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type { HeldLease, LeaseProgress } from "../process/services.ts";
import type { RequestExecution } from "./request_execution.ts";
import { buildRequestKeys } from "./request_keys.ts";
import {
  checkCanContinue,
  checkQuarantine,
  checkRetry,
  computeExtensionMs,
  createRefusal,
  FAILED_RETRY_AFTER_MS,
} from "./retry_rules.ts";
import { PeerRefusalError } from "./forwarded_request.ts";
import { type AttemptFailure, toFailure } from "./attempt_failure.ts";
import { AttemptProgress } from "./attempt_progress.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Limit on leases of one request, including preempted and expired ones. */
const MAX_LEASES = 12;
const NO_PROGRESS: LeaseProgress = {
  tokens: 0,
  firstTokenMs: undefined,
  betweenTokensMs: undefined,
};

/** How one attempt ended. */
type AttemptResult =
  /** `beganAt` is `Clock.now()` at the first output. */
  | { kind: "answered"; beganAt: number }
  | { kind: "cancelled" }
  /** The lease expired before anything was sent. */
  | { kind: "expired" }
  | { kind: "preempted" }
  /**
   * `checks` resolve once it is known whether the replica crashed, and whether
   * this VM reaches it.
   */
  | { kind: "failed"; failure: AttemptFailure; checks: Promise<void>[] };

/**
 * Runs the work, with retries. Resolves when the caller has the complete
 * answer; throws `RefusalError`, whose outcome covers all attempts together.
 */
export async function runAttempts(
  execution: RequestExecution,
  work: UpstreamWork,
): Promise<void> {
  const { isForwarded = false } = execution.options;
  if (!isForwarded) {
    execution.services.retryBudget.noteFirstAttempt(work.pool.name);
  }
  execution.pool = work.pool;
  execution.keys = buildRequestKeys(execution.options.fingerprint, work);
  const avoid: VmId[] = [];
  let failures = 0;
  let sends = 0;
  for (let attempt = 1; attempt <= MAX_LEASES; attempt++) {
    checkQuarantine(execution);
    const lease = await acquireLease(execution, work, { attempt, avoid });
    const result = await runAttempt(execution, work, { lease, sends });
    if (result.kind === "answered") {
      execution.services.quarantine.noteAnswered(
        execution.keys,
        result.beganAt,
      );
      noteCallerDisconnect(execution);
      return;
    }
    if (result.kind === "cancelled") throw createCancelled(execution);
    if (result.kind === "expired") continue;
    if (result.kind === "preempted") {
      checkCanContinue(
        execution,
        work,
        "The slot was preempted for a higher tier",
      );
      continue;
    }
    failures++;
    if (result.failure.wasSent) sends += result.failure.sends;
    avoid.push(result.failure.upstream);
    await checkRetry(execution, work, { ...result, failures, sends });
    execution.note("retried", { detail: result.failure.message });
  }
  throw createRefusal(execution, {
    code: "no_upstream",
    message: "Every lease expired or was preempted before the work completed",
  });
}

/** Records that the caller of an answered request had disconnected. */
function noteCallerDisconnect(execution: RequestExecution): void {
  if (!execution.options.sink.signal.aborted) return;
  execution.note("cancelled", {
    detail: "The caller disconnected before the last byte",
  });
}

async function acquireLease(
  execution: RequestExecution,
  work: UpstreamWork,
  leaseOptions: { attempt: number; avoid: VmId[] },
): Promise<HeldLease> {
  const { options, services } = execution;
  try {
    const lease = await services.leases.acquire({
      requestId: execution.id,
      attempt: leaseOptions.attempt,
      workspace: options.workspace.name,
      className: options.requestClass.name,
      pool: work.pool.name,
      arrivedAt: options.arrivedAt,
      deadlineAt: execution.deadlineAt,
      idempotent: options.idempotent,
      avoid: [...leaseOptions.avoid],
      isSuspect: services.quarantine.isSuspect(execution.keys),
      isForwarded: options.isForwarded ?? false,
      ...work.buildLeaseRequirements(),
    }, {
      signal: execution.signal,
      onStep: (step) => {
        execution.note(step.step, { peer: step.peer, detail: step.detail });
      },
    });
    execution.note("granted", { peer: lease.upstream, detail: lease.reason });
    return lease;
  } catch (thrown) {
    if (!(thrown instanceof RefusalError)) throw thrown;
    if (execution.isCancelled) throw createCancelled(execution);
    // This outcome covers one attempt; an earlier attempt may have run.
    throw createRefusal(execution, thrown.refusal);
  }
}

async function runAttempt(
  execution: RequestExecution,
  work: UpstreamWork,
  { lease, sends }: { lease: HeldLease; sends: number },
): Promise<AttemptResult> {
  const { environment } = execution.services;
  const cancel = new AbortController();
  const progress = AttemptProgress.create(
    environment.clock,
    (each) => lease.noteProgress(each),
  );
  const onPreempted = () => {
    // Release the slot at once: a write to a slow caller may block this task
    // long after the upstream has stopped working on the request.
    cancel.abort();
    lease.release("cancelled", progress.getProgress());
  };
  const onAborted = () => cancel.abort();
  lease.withdrawn?.addEventListener("abort", onAborted, { once: true });
  const preempted = execution.options.idempotent ? lease.preempted : undefined;
  preempted?.addEventListener("abort", onPreempted, { once: true });
  // Work that is not idempotent and can be resubmitted is completed after its
  // caller disconnected, so that a resubmission receives the answer. Cancelling
  // it would leave an outcome that nobody can find out.
  const finishesWithoutCaller = !execution.options.idempotent &&
    execution.options.retainsAnswer;
  if (!finishesWithoutCaller) {
    execution.signal.addEventListener("abort", onAborted, { once: true });
  }
  try {
    return await sendWork(execution, work, { lease, cancel, progress, sends });
  } finally {
    lease.withdrawn?.removeEventListener("abort", onAborted);
    preempted?.removeEventListener("abort", onPreempted);
    execution.signal.removeEventListener("abort", onAborted);
    // If the answer was rejected before it was read, the connection and the
    // work at the upstream would otherwise last until a timeout.
    cancel.abort();
    lease.release("failed", progress.getProgress());
  }
}

async function sendWork(
  execution: RequestExecution,
  work: UpstreamWork,
  options: {
    lease: HeldLease;
    cancel: AbortController;
    progress: AttemptProgress;
    sends: number;
  },
): Promise<AttemptResult> {
  const { lease, cancel, progress, sends } = options;
  const call = work.buildCall(lease, sends);
  const isForwarded = lease.peerTransport !== undefined;
  const early = findEarlyResult(execution, lease);
  if (early !== undefined) return early;
  execution.upstream = lease.upstream;
  execution.note(isForwarded ? "forwarded" : "sent", {
    peer: lease.upstream,
    detail: lease.formatState(),
  });
  try {
    const { environment } = execution.services;
    const transport = lease.peerTransport ?? environment.upstreams;
    const answer = await transport.send({
      ...call,
      upstream: lease.upstream,
      freshConnection: !execution.options.idempotent,
      timeouts: {
        ...computeTimeouts(execution, work),
        computeExtensionMs: () => computeExtensionMs(execution, work, lease),
      },
      signal: cancel.signal,
      canSend: () => canSend(execution, lease),
    });
    lease.noteAnswered();
    await work.handleAnswer(answer, {
      signal: cancel.signal,
      progress,
      onSignals: (signals) => {
        execution.services.unreadableHeaders.note(
          lease.upstream,
          signals.unreadable,
        );
        lease.noteSignals(signals);
      },
      onComplete: () => lease.release("done", progress.getProgress()),
      isForwarded,
      getUpstreamVersion: () => lease.getUpstreamVersion(),
    });
    return { kind: "answered", beganAt: progress.beganAt };
  } catch (thrown) {
    const error = toError(thrown);
    const isUnsent = error instanceof UpstreamError &&
      error.kind === "not_sent";
    if (isUnsent) return handleExpired(execution, lease);
    const maxSends = isForwarded ? work.maxSends - sends : 1;
    return handleFailure(execution, error, {
      lease,
      progress,
      maxSends,
    });
  }
}

function canSend(execution: RequestExecution, lease: HeldLease): boolean {
  if (!execution.options.isClaimValid() || !lease.isValid()) return false;
  if (!canFinish(execution)) return false;
  lease.noteSending();
  return true;
}

/**
 * Checks again, right before the send, that the work may be sent. While a
 * process was paused, its leases and claims may have expired and passed to
 * others; sending then would use a slot that belongs to another request.
 */
function findEarlyResult(
  execution: RequestExecution,
  lease: HeldLease,
): AttemptResult | undefined {
  if (execution.signal.aborted) {
    lease.release("unused", NO_PROGRESS);
    return { kind: "cancelled" };
  }
  if (!execution.options.isClaimValid()) {
    lease.release("unused", NO_PROGRESS);
    throw createRefusal(execution, {
      code: "paused",
      message: "The claim on the request id expired before the work was sent",
      retryAfterMs: FAILED_RETRY_AFTER_MS,
    });
  }
  if (execution.isTooLate) {
    lease.release("unused", NO_PROGRESS);
    throw createRefusal(execution, {
      code: "deadline_passed",
      message: "The deadline passed before the work was sent",
    });
  }
  if (!canFinish(execution)) {
    lease.release("unused", NO_PROGRESS);
    execution.services.admission?.noteRefused();
    throw createDraining(execution);
  }
  checkQuarantine(execution, () => lease.release("unused", NO_PROGRESS));
  if (lease.isValid() && !lease.preempted.aborted) return undefined;
  return handleExpired(execution, lease);
}

/**
 * Whether this VM, if it drains, has the time for the request. What may have run
 * goes on for as long as it can.
 */
function canFinish(execution: RequestExecution): boolean {
  const { services, options, deadlineAt } = execution;
  const { requestClass: { name: className }, arrivedAt } = options;
  const { isSingleCall = false } = options;
  return execution.getOutcome() !== "not_run" ||
    services.admission === undefined ||
    services.admission.canTake({
      className,
      arrivedAt,
      deadlineAt,
      isSingleCall,
    });
}

function handleExpired(
  execution: RequestExecution,
  lease: HeldLease,
): AttemptResult {
  lease.release("unused", NO_PROGRESS);
  execution.note("retried", {
    peer: lease.upstream,
    detail: "The lease expired before the work was sent",
  });
  return { kind: "expired" };
}

function handleFailure(
  execution: RequestExecution,
  error: Error,
  options: { lease: HeldLease; progress: AttemptProgress; maxSends: number },
): AttemptResult {
  const { lease, progress, maxSends } = options;
  const failure = toFailure(error, { upstream: lease.upstream, maxSends });
  if (failure.mayHaveRun) execution.noteMayHaveRun();
  if (failure.wasSent) execution.wasSent = true;
  if (error instanceof PeerRefusalError && !error.canTryElsewhere) {
    lease.release("failed", progress.getProgress());
    throw createRefusal(execution, error.refusal);
  }
  const isForwarded = lease.peerTransport !== undefined;
  const crashCheck = failure.isConnectionLost && !isForwarded
    ? execution.services.quarantine.noteConnectionLoss(
      execution.keys,
      {
        id: lease.upstream,
        incarnation: lease.upstreamIncarnation,
        hadOutput: progress.getProgress().tokens > 0,
        sentAt: progress.sentAt,
      },
    )
    : Promise.resolve();
  if (execution.signal.aborted) {
    lease.release("cancelled", progress.getProgress());
    return { kind: "cancelled" };
  }
  if (execution.options.idempotent && lease.preempted.aborted) {
    execution.note("preempted", { peer: lease.upstream });
    return { kind: "preempted" };
  }
  const linkCheck = error instanceof UpstreamError
    ? lease.noteTransportFailure()
    : Promise.resolve();
  lease.release("failed", progress.getProgress());
  execution.note("stream_broken", {
    peer: lease.upstream,
    detail: error.message,
  });
  return { kind: "failed", failure, checks: [crashCheck, linkCheck] };
}

function computeTimeouts(
  execution: RequestExecution,
  work: UpstreamWork,
): CallTimeouts {
  const leftMs = execution.deadlineAt -
    execution.services.environment.clock.now();
  const timeouts = work.computeTimeouts(leftMs);
  if (execution.options.requestClass.lateIsUseful) return timeouts;
  return {
    ...timeouts,
    firstByteMs: Math.max(1, Math.min(timeouts.firstByteMs, leftMs)),
  };
}

function createDraining(execution: RequestExecution): RefusalError {
  return createRefusal(execution, {
    code: "draining",
    message: "This VM ends before it can finish the request",
    retryAfterMs: execution.services.admission?.computeRetryMs() ??
      FAILED_RETRY_AFTER_MS,
  });
}

function createCancelled(execution: RequestExecution): RefusalError {
  if (execution.isCancelled) return createDraining(execution);
  return createRefusal(execution, {
    code: "cancelled",
    message: "The caller disconnected",
  });
}
