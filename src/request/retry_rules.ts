/**
 * Rules for retrying a failed or silent attempt.
 *
 * @module
 */
import { type Refusal, RefusalError } from "../outcome.ts";
import type { RequestHold } from "../process/crash_quarantine.ts";
import type { HeldLease } from "../process/services.ts";
import type { RequestExecution } from "./request_execution.ts";
import type { AttemptFailure } from "./attempt_failure.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Limit on failed attempts of one request, including the first. */
const MAX_FAILED_ATTEMPTS = 4;
/** Time that an attempt after a tolerated silence needs. */
const MIN_RETRY_MS = 300;
/** Whether to wait on for a silent attempt is decided this often. */
const MAX_EXTENSION_MS = 250;
/** Retry-after that callers receive when an attempt failed, in milliseconds. */
export const FAILED_RETRY_AFTER_MS = 1_000;

/** Throws `RefusalError` unless the work may be sent again. */
export async function checkRetry(
  execution: RequestExecution,
  work: UpstreamWork,
  options: {
    failure: AttemptFailure;
    /** Resolve once the next attempt can be chosen. */
    checks: readonly Promise<void>[];
    failures: number;
    sends: number;
  },
): Promise<void> {
  const { failure, checks, failures, sends } = options;
  const createFailure = (
    why: string,
    retryAfterMs = FAILED_RETRY_AFTER_MS,
  ): RefusalError =>
    createRefusal(execution, {
      code: failure.code,
      message: `${failure.message}; ${why}`,
      retryAfterMs,
    });
  // Once a byte was sent, the upstream may have run the work; sending work that
  // is not idempotent again could, for example, book two slots.
  if (!execution.options.idempotent && failure.wasSent) {
    throw createFailure("work that is not idempotent is not retried");
  }
  if (failures >= MAX_FAILED_ATTEMPTS || sends >= work.maxSends) {
    throw createFailure("the limit on attempts is reached");
  }
  await Promise.all(checks);
  const hold = findHold(execution);
  if (hold !== undefined) {
    throw createFailure(formatHold(hold), Math.ceil(hold.leftMs));
  }
  if (execution.services.quarantine.isAccused(execution.keys)) {
    throw createFailure("replicas crash under a part of its prompt");
  }
  checkCanContinue(execution, work, failure.message);
  // An attempt that was not sent put no load on an upstream: no budget needed.
  if (!failure.wasSent) return;
  if (!execution.services.retryBudget.takeRetry(work.pool.name)) {
    throw createFailure("the retry budget is spent");
  }
}

/** Throws `RefusalError` unless another attempt can complete the answer. */
export function checkCanContinue(
  execution: RequestExecution,
  work: UpstreamWork,
  cause: string,
): void {
  if (execution.isTooLate) {
    throw createRefusal(execution, {
      code: "deadline_passed",
      message: `${cause}; the deadline has passed`,
    });
  }
  if (!work.canContinue()) {
    throw createRefusal(execution, {
      code: "upstream_failed",
      message: `${cause}; the answer cannot be resumed`,
    });
  }
}

/**
 * Calls `onQuarantined` and throws if the request is quarantined because
 * replicas crash while running it. Without quarantine, it would crash one
 * replica after the other: its VM resumes it, and its caller repeats it under
 * new ids.
 */
export function checkQuarantine(
  execution: RequestExecution,
  onQuarantined: () => void = () => {},
): void {
  const hold = findHold(execution);
  if (hold === undefined) return;
  onQuarantined();
  execution.services.quarantine.noteRefused(hold);
  throw createRefusal(execution, {
    code: "quarantined",
    message: `Quarantined: ${formatHold(hold)}`,
    retryAfterMs: Math.ceil(hold.leftMs),
  });
}

/**
 * Time to wait on for a silent attempt, in milliseconds; 0 to give up. It is
 * waited for while its replica works on other requests, or may go on soon, or
 * there is no budget for a retry.
 *
 * Without this rule, a replica with a long queue is treated as failed: waiting
 * requests are cancelled and prefilled again at another replica that is just as
 * busy, busy replicas are ejected after first-byte timeouts, and the retry
 * budget is spent before a real failure needs it. Without budget, cancelling
 * the attempt would only lose the answer.
 */
export function computeExtensionMs(
  execution: RequestExecution,
  work: UpstreamWork,
  lease: HeldLease,
): number {
  const isWorthWaiting = lease.isUpstreamAlive() ||
    !execution.services.retryBudget.hasRetry(work.pool.name);
  if (isWorthWaiting) return MAX_EXTENSION_MS;
  const silenceMs = lease.computeSilenceLeftMs();
  const now = execution.services.environment.clock.now();
  const leftMs = execution.deadlineAt - now - silenceMs;
  // A retry after the silence has to have time to answer.
  return leftMs < MIN_RETRY_MS ? 0 : Math.min(silenceMs, MAX_EXTENSION_MS);
}

/** Creates a refusal whose outcome covers all attempts of the execution. */
export function createRefusal(
  execution: RequestExecution,
  refusal: Omit<Refusal, "outcome">,
): RefusalError {
  const outcome = execution.getOutcome();
  const isUnsent = !execution.wasSent;
  return new RefusalError({ ...refusal, outcome, isUnsent });
}

function findHold(
  { services, keys }: RequestExecution,
): RequestHold | undefined {
  return services.quarantine.findHold(keys);
}

function formatHold({ part }: RequestHold): string {
  return part === undefined
    ? "the request crashes replicas"
    : `part ${part} of its prompt crashes replicas`;
}
