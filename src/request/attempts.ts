/**
 * Runs work on upstreams until the caller has its answer or a true refusal.
 *
 * @module
 */
import type { CallLimits } from "../connection/upstream_transport.ts";
import { toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type { HeldLease, LeaseProgress } from "../process/services.ts";
import type { RequestRun } from "./request_run.ts";
import {
  checkCanContinue,
  checkQuarantine,
  checkRetry,
  createRefusal,
  FAILED_RETRY_AFTER_MS,
  isWorthWaiting,
} from "./retry_rules.ts";
import { toFailure, type TryFailure } from "./attempt_failure.ts";
import { TryProgress } from "./attempt_progress.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Leases that one request may use up, preempted and lapsed ones included. */
const MAX_LEASES = 12;
const NO_PROGRESS: LeaseProgress = {
  tokens: 0,
  firstTokenMs: undefined,
  betweenTokensMs: undefined,
};

/** How one try ended. */
type TryEnd =
  | { kind: "answered" }
  | { kind: "cancelled" }
  /** The lease lapsed before anything was sent. */
  | { kind: "lapsed" }
  | { kind: "preempted" }
  /** `noted` resolves once it is known whether the replica crashed. */
  | { kind: "failed"; failure: TryFailure; noted: Promise<void> };

/**
 * Gets the work done. Resolves when the caller has the whole answer; throws
 * `RefusalError`, whose outcome holds for all sends together.
 */
export async function runTries(
  run: RequestRun,
  work: UpstreamWork,
): Promise<void> {
  run.services.retryBudget.noteFirstAttempt(work.pool.name);
  run.pool = work.pool;
  const avoid: VmId[] = [];
  let tries = 0;
  let sends = 0;
  for (let attempt = 1; attempt <= MAX_LEASES; attempt++) {
    checkQuarantine(run);
    const lease = await acquireLease(run, work, { attempt, avoid });
    const end = await runTry(run, work, lease);
    if (end.kind === "answered") {
      run.services.quarantine.noteAnswered(run.start.fingerprint);
      noteCallerGone(run);
      return;
    }
    if (end.kind === "cancelled") throw createCancelled(run);
    if (end.kind === "lapsed") continue;
    if (end.kind === "preempted") {
      checkCanContinue(run, work, "The slot was taken for a higher tier");
      continue;
    }
    tries++;
    if (end.failure.wasSent) sends++;
    avoid.push(end.failure.upstream);
    await checkRetry(run, work, { ...end, tries, sends });
    run.note("retried", { detail: end.failure.message });
  }
  throw createRefusal(run, {
    code: "no_upstream",
    message: "No slot lasted until the work was done",
  });
}

/** Says in the fate of an answered request that its caller had left. */
function noteCallerGone(run: RequestRun): void {
  if (!run.start.sink.signal.aborted) return;
  run.note("cancelled", { detail: "The caller left before the last byte" });
}

async function acquireLease(
  run: RequestRun,
  work: UpstreamWork,
  options: { attempt: number; avoid: VmId[] },
): Promise<HeldLease> {
  const { start, services } = run;
  try {
    const lease = await services.leases.acquire({
      requestId: run.id,
      attempt: options.attempt,
      workspace: start.workspace.name,
      className: start.requestClass.name,
      pool: work.pool.name,
      arrivedAt: start.arrivedAt,
      deadlineAt: run.deadlineAt,
      idempotent: start.idempotent,
      avoid: [...options.avoid],
      isSuspect: services.quarantine.isSuspect(start.fingerprint),
      ...work.buildLeaseNeeds(),
    }, {
      signal: start.sink.signal,
      onStep: (step) => {
        run.note(step.step, { peer: step.peer, detail: step.detail });
      },
    });
    run.note("granted", { peer: lease.upstream, detail: lease.reason });
    return lease;
  } catch (thrown) {
    if (!(thrown instanceof RefusalError)) throw thrown;
    // The lease source speaks for this try alone; an earlier one may have run.
    throw createRefusal(run, thrown.refusal);
  }
}

async function runTry(
  run: RequestRun,
  work: UpstreamWork,
  lease: HeldLease,
): Promise<TryEnd> {
  const { environment } = run.services;
  const cancel = new AbortController();
  const progress = TryProgress.create(
    environment.clock,
    (each) => lease.noteProgress(each),
  );
  const onPreempted = () => {
    // The slot goes back at once: a slow caller may hold this task in a write
    // long after the upstream stopped working for it.
    cancel.abort();
    lease.release("cancelled", progress.getProgress());
  };
  const onCallerGone = () => cancel.abort();
  const preempted = run.start.idempotent ? lease.preempted : undefined;
  preempted?.addEventListener("abort", onPreempted, { once: true });
  // Work that may run at most once and that the caller can ask about again is
  // let finish: cutting it would leave a hold that nobody can tell of.
  const isLetFinish = !run.start.idempotent && run.start.retainsAnswer;
  if (!isLetFinish) {
    run.start.sink.signal.addEventListener("abort", onCallerGone, {
      once: true,
    });
  }
  try {
    return await sendWork(run, work, { lease, cancel, progress });
  } finally {
    preempted?.removeEventListener("abort", onPreempted);
    run.start.sink.signal.removeEventListener("abort", onCallerGone);
    // An answer that was turned down unread would hold its connection, and
    // the upstream its work, until a time limit.
    cancel.abort();
    lease.release("failed", progress.getProgress());
  }
}

async function sendWork(
  run: RequestRun,
  work: UpstreamWork,
  options: {
    lease: HeldLease;
    cancel: AbortController;
    progress: TryProgress;
  },
): Promise<TryEnd> {
  const { lease, cancel, progress } = options;
  const call = work.buildCall(lease);
  const early = findEarlyEnd(run, lease);
  if (early !== undefined) {
    lease.release("unused", NO_PROGRESS);
    return early;
  }
  run.upstream = lease.upstream;
  run.note("sent", { peer: lease.upstream });
  try {
    const answer = await run.services.environment.upstreams.send({
      ...call,
      upstream: lease.upstream,
      freshConnection: !run.start.idempotent,
      limits: {
        ...computeLimits(run, work),
        mayWaitOn: () => isWorthWaiting(run, work, lease),
      },
      signal: cancel.signal,
      canSend: () => run.start.isClaimStanding() && lease.isValid(),
    });
    await work.handleAnswer(answer, {
      signal: cancel.signal,
      progress,
      onSignals: (signals) => {
        run.services.unreadableHeaders.note(lease.upstream, signals.unreadable);
        lease.noteSignals(signals);
      },
      onWhole: () => lease.release("done", progress.getProgress()),
    });
    return { kind: "answered" };
  } catch (thrown) {
    return handleFailure(run, toError(thrown), { lease, progress });
  }
}

/**
 * Looks once more, right before the send, whether it may go out. A process
 * that was paused wakes with leases and claims that others have taken over;
 * sending then would put work on a slot that is not its own.
 */
function findEarlyEnd(run: RequestRun, lease: HeldLease): TryEnd | undefined {
  if (run.start.sink.signal.aborted) return { kind: "cancelled" };
  if (!run.start.isClaimStanding()) {
    lease.release("unused", NO_PROGRESS);
    throw createRefusal(run, {
      code: "paused",
      message: "The claim on the request id lapsed before the work was sent",
      retryAfterMs: FAILED_RETRY_AFTER_MS,
    });
  }
  if (run.isPastUse) {
    lease.release("unused", NO_PROGRESS);
    throw createRefusal(run, {
      code: "deadline_passed",
      message: "The target passed before the work was sent",
    });
  }
  checkQuarantine(run, () => lease.release("unused", NO_PROGRESS));
  if (lease.isValid() && !lease.preempted.aborted) return undefined;
  run.note("retried", {
    peer: lease.upstream,
    detail: "The lease lapsed before the work was sent",
  });
  return { kind: "lapsed" };
}

function handleFailure(
  run: RequestRun,
  error: Error,
  options: { lease: HeldLease; progress: TryProgress },
): TryEnd {
  const { lease, progress } = options;
  const failure = toFailure(error, lease.upstream);
  if (failure.mayHaveRun) run.noteMayHaveRun();
  const noted = failure.isConnectionLost
    ? run.services.quarantine.noteConnectionLoss(run.start.fingerprint, {
      id: lease.upstream,
      incarnation: lease.upstreamIncarnation,
      hadOutput: progress.getProgress().tokens > 0,
    })
    : Promise.resolve();
  if (run.start.sink.signal.aborted) {
    lease.release("cancelled", progress.getProgress());
    return { kind: "cancelled" };
  }
  if (run.start.idempotent && lease.preempted.aborted) {
    run.note("preempted", { peer: lease.upstream });
    return { kind: "preempted" };
  }
  lease.release("failed", progress.getProgress());
  run.note("stream_broken", { peer: lease.upstream, detail: error.message });
  return { kind: "failed", failure, noted };
}

function computeLimits(run: RequestRun, work: UpstreamWork): CallLimits {
  const leftMs = run.deadlineAt - run.services.environment.clock.now();
  const limits = work.computeLimits(leftMs);
  if (run.start.requestClass.lateIsUseful) return limits;
  return {
    ...limits,
    firstByteMs: Math.max(1, Math.min(limits.firstByteMs, leftMs)),
  };
}

function createCancelled(run: RequestRun): RefusalError {
  return createRefusal(run, {
    code: "cancelled",
    message: "The caller went away",
  });
}
