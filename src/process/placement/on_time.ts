/**
 * Which replicas are predicted to begin the answer to a prompt within its
 * target.
 *
 * When more long prompts arrive than a pool can prefill, serving them in order
 * builds up a queue a little longer than the target at every replica, and all
 * prompts are late. The sign is that replicas work without a pause while few
 * answers begin on time. Refusing some prompts does not help: the queue is
 * already there, and refused prompts come back.
 *
 * Therefore a prompt takes its turn only at a replica whose queue is short
 * enough. All others are deferred: they are prefilled after every prompt that
 * can still be on time, and so hardly delay those. In return, most callers of
 * deferred prompts disconnect before they get an answer.
 *
 * @module
 */
import type { LoadedReplica } from "./interactive_replicas.ts";
import type { ReplicaSpeeds } from "./replica_speed.ts";

/**
 * Share of the target within which the first output has to be predicted.
 * Predictions are right in the median only: a quarter of them are exceeded by
 * 30% or more.
 */
const MAX_PREDICTED_SHARE = 0.85;
/**
 * Share of that limit that a prompt's own prefill counts for at most. Without
 * this cap, the longest prompts would never be on time and would always be
 * deferred.
 */
const MAX_PREFILL_SHARE = 0.4;

/**
 * A stream that begins after this share of its time seldom ends before its
 * deadline. Where callers wait longer than that for output, late prompts must
 * not be deferred: their turn would come too late to be of use, and prefilling
 * them in vain would keep all others late.
 */
const LATEST_START_SHARE = 0.6;

/**
 * Whether a prompt may be deferred: its caller has a client timeout and
 * disconnects before its turn would come too late. Both arguments are in
 * milliseconds.
 */
export function canBeDeferred(
  clientTimeoutMs: number | undefined,
  leftMs: number,
): boolean {
  return clientTimeoutMs !== undefined &&
    clientTimeoutMs <= LATEST_START_SHARE * leftMs;
}

/**
 * Whether a first output is predicted to be on time; all arguments are in
 * milliseconds.
 */
export function isOnTime(
  predicted: { waitMs: number; prefillMs: number },
  targetMs: number,
): boolean {
  const limitMs = MAX_PREDICTED_SHARE * targetMs;
  const prefillMs = Math.min(predicted.prefillMs, MAX_PREFILL_SHARE * limitMs);
  return predicted.waitMs + prefillMs <= limitMs;
}

/**
 * Replicas at which a prompt with at least `uncachedTokens` to prefill may be
 * on time; all replicas where it has no target.
 */
export function listOnTime(
  replicas: readonly LoadedReplica[],
  needs: { uncachedTokens: number; targetMs: number | undefined },
  speeds: ReplicaSpeeds,
): readonly LoadedReplica[] {
  const { uncachedTokens, targetMs } = needs;
  if (targetMs === undefined) return replicas;
  return replicas.filter(({ replica, load }) => {
    const msPerToken = speeds.getMsPerToken(replica.id);
    const waitMs = load.pendingTokens * msPerToken;
    return isOnTime(
      { waitMs, prefillMs: uncachedTokens * msPerToken },
      targetMs,
    );
  });
}
