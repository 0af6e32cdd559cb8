/**
 * When a failed or silent try of a request is followed by another one.
 *
 * @module
 */
import { type Refusal, RefusalError } from "../outcome.ts";
import type { HeldLease } from "../process/services.ts";
import type { RequestRun } from "./request_run.ts";
import type { TryFailure } from "./attempt_failure.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Tries that may fail for one request, the first one included. */
const MAX_TRIES = 4;
/** When a caller may come back after a try that failed, in milliseconds. */
export const FAILED_RETRY_AFTER_MS = 1_000;

/** Throws unless the work may and can be sent once more. */
export async function checkRetry(
  run: RequestRun,
  work: UpstreamWork,
  options: {
    failure: TryFailure;
    /** Resolves once it is known whether the replica crashed. */
    noted: Promise<void>;
    tries: number;
    sends: number;
  },
): Promise<void> {
  const { failure, noted, tries, sends } = options;
  const giveUp = (
    why: string,
    retryAfterMs = FAILED_RETRY_AFTER_MS,
  ): RefusalError =>
    createRefusal(run, {
      code: failure.code,
      message: `${failure.message}; ${why}`,
      retryAfterMs,
    });
  // Work that may run at most once: once a byte is out nobody can tell what
  // the upstream did with it, and a second send could double a slot hold.
  if (!run.start.idempotent && failure.wasSent) {
    throw giveUp("work that is not idempotent is sent once");
  }
  if (tries >= MAX_TRIES || sends >= work.maxSends) {
    throw giveUp("no more tries are made");
  }
  await noted;
  const heldMs = getHeldMs(run);
  if (heldMs > 0) throw giveUp("replicas crash under the request", heldMs);
  checkCanContinue(run, work, failure.message);
  // A try that never reached an upstream loads none of those that are left.
  if (!failure.wasSent) return;
  if (!run.services.retryBudget.takeRetry(work.pool.name)) {
    throw giveUp("the retry budget is spent");
  }
}

/** Throws unless another try could still give the caller its answer. */
export function checkCanContinue(
  run: RequestRun,
  work: UpstreamWork,
  cause: string,
): void {
  if (run.isPastUse) {
    throw createRefusal(run, {
      code: "deadline_passed",
      message: `${cause}; the target has passed`,
    });
  }
  if (!work.canContinue()) {
    throw createRefusal(run, {
      code: "upstream_failed",
      message: `${cause}; the answer cannot be resumed`,
    });
  }
}

/**
 * Throws where the request is held back because replicas crash under it, after
 * `onHeld`. Without this it ends one replica after the other: resumed by its VM
 * and repeated by its caller, each attempt under an id that nobody knows yet.
 */
export function checkQuarantine(
  run: RequestRun,
  onHeld: () => void = () => {},
): void {
  const heldMs = getHeldMs(run);
  if (heldMs === 0) return;
  onHeld();
  throw createRefusal(run, {
    code: "quarantined",
    message: "Replicas crash under this request; it is kept from them",
    retryAfterMs: heldMs,
  });
}

/**
 * Whether a silent try should go on: its replica works on what came before, or
 * nothing could take the try's place.
 *
 * Without this a queue at the replicas is taken for their death. Requests are
 * cut while they wait, read again at another replica that is as busy, and spend
 * the retry budget that real failures need: seen as first-byte timeouts and
 * ejections at replicas that answer others. A stream cut with no retry left
 * would be lost to its caller for nothing.
 */
export function isWorthWaiting(
  run: RequestRun,
  work: UpstreamWork,
  lease: HeldLease,
): boolean {
  return lease.isUpstreamAlive() ||
    !run.services.retryBudget.hasRetry(work.pool.name);
}

/** A refusal whose outcome covers every send of the run. */
export function createRefusal(
  run: RequestRun,
  refusal: Omit<Refusal, "outcome">,
): RefusalError {
  const outcome = run.getOutcome();
  return new RefusalError({ ...refusal, outcome });
}

/** How long the request must not be sent, in whole milliseconds. */
function getHeldMs({ services, start }: RequestRun): number {
  return Math.ceil(services.quarantine.getQuarantineMs(start.fingerprint));
}
