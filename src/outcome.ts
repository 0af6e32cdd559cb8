/**
 * Refusals: why a request was not answered, and whether it ran.
 *
 * @module
 */

/**
 * Whether the work ran. `not_run` requires proof: either no byte of the request
 * was written to an upstream, or the upstream's documented answer states that
 * it did not start the work.
 */
export type ExecutionOutcome = "not_run" | "ran" | "unknown";

/** Stable machine-readable causes, documented in docs/CALLING.md. */
export const REFUSAL_CODES = [
  "bad_request",
  "unauthorized",
  "forbidden",
  "not_found",
  "payload_too_large",
  "rate_limited",
  "queue_full",
  "deadline_unreachable",
  "shed",
  "quarantined",
  "draining",
  "no_upstream",
  "version_gone",
  "origin_unknown",
  "owner_unreachable",
  "not_ready",
  "upstream_failed",
  "answer_truncated",
  "upstream_timeout",
  "deadline_passed",
  "already_submitted",
  "fate_unknown",
  "paused",
  "cancelled",
  "internal",
] as const;

/** One of `REFUSAL_CODES`. */
export type RefusalCode = typeof REFUSAL_CODES[number];

/** A refusal, as returned to the caller. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  outcome: ExecutionOutcome;
  /** Delay before a retry, in milliseconds; absent if a retry is useless. */
  retryAfterMs?: number;
  /** Whether no byte of the request was sent to any upstream. */
  isUnsent?: boolean;
}

/** Thrown to end a request with a refusal. */
export class RefusalError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.message);
    this.name = "RefusalError";
    this.refusal = refusal;
  }
}
