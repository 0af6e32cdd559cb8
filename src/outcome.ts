/**
 * What a caller is told about a request that was not answered in full.
 *
 * @module
 */

/**
 * Whether the work ran. `not_run` is said only when provable: no byte of the
 * request was written to an upstream, or the upstream's documented answer says
 * that it did nothing.
 */
export type RunOutcome = "not_run" | "ran" | "unknown";

/** Stable machine-readable causes; docs/CALLING.md lists them. */
export type RefusalCode =
  | "bad_request"
  | "unauthorized"
  | "forbidden"
  | "not_found"
  | "payload_too_large"
  | "rate_limited"
  | "queue_full"
  | "deadline_unreachable"
  | "shed"
  | "quarantined"
  | "draining"
  | "no_upstream"
  | "owner_unreachable"
  | "not_ready"
  | "upstream_failed"
  | "upstream_timeout"
  | "deadline_passed"
  | "already_submitted"
  | "fate_unknown"
  | "paused"
  | "cancelled"
  | "internal";

/** A truthful refusal, as given to the caller. */
export interface Refusal {
  code: RefusalCode;
  message: string;
  outcome: RunOutcome;
  /** When the caller may come back, in milliseconds; absent if never. */
  retryAfterMs?: number;
}

/** A refusal that unwinds the request's task. */
export class RefusalError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(refusal.message);
    this.name = "RefusalError";
    this.refusal = refusal;
  }
}
