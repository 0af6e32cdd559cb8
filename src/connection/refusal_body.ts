/**
 * HTTP answers for refused requests.
 *
 * @module
 */
import { match } from "ts-pattern";
import type { RequestId } from "../ids.ts";
import type { Refusal, RefusalCode } from "../outcome.ts";
import type { CallerSink } from "../request/caller_sink.ts";

const MS_PER_SECOND = 1_000;

/** Error types, coarser than `RefusalCode`. */
export type RefusalType =
  | "invalid_request_error"
  | "authentication_error"
  | "permission_error"
  | "not_found_error"
  | "rate_limit_error"
  | "overloaded_error"
  | "upstream_error"
  | "conflict_error"
  | "cancelled_error"
  | "internal_error";

/** The HTTP status and the error type of a refusal. */
export interface RefusalKind {
  status: number;
  type: RefusalType;
}

/** Options of `buildRefusal`. */
export interface RefusalOptions {
  requestId: RequestId | undefined;
  /** Overrides the status of the refusal's code. */
  status?: number;
  headers?: Record<string, string>;
}

/** A refusal as an HTTP answer. */
export interface RefusalAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** Returns the HTTP status and the error type of a code. */
export function getRefusalKind(code: RefusalCode): RefusalKind {
  return match(code)
    .returnType<RefusalKind>()
    .with("bad_request", () => toKind(400, "invalid_request_error"))
    .with("payload_too_large", () => toKind(413, "invalid_request_error"))
    .with("unauthorized", () => toKind(401, "authentication_error"))
    .with("forbidden", () => toKind(403, "permission_error"))
    .with("not_found", () => toKind(404, "not_found_error"))
    .with("rate_limited", () => toKind(429, "rate_limit_error"))
    .with("already_submitted", "fate_unknown", () => {
      return toKind(409, "conflict_error");
    })
    .with("cancelled", () => toKind(499, "cancelled_error"))
    .with("internal", () => toKind(500, "internal_error"))
    .with("upstream_failed", "answer_truncated", () => {
      return toKind(502, "upstream_error");
    })
    .with("upstream_timeout", "deadline_passed", () => {
      return toKind(504, "upstream_error");
    })
    .with(
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
      "paused",
      () => toKind(503, "overloaded_error"),
    )
    .exhaustive();
}

/** Builds the answer to a refused request. */
export function buildRefusal(
  refusal: Refusal,
  options: RefusalOptions,
): RefusalAnswer {
  const kind = getRefusalKind(refusal.code);
  const body = Buffer.from(JSON.stringify({
    error: {
      type: kind.type,
      code: refusal.code,
      message: refusal.message,
      outcome: refusal.outcome,
      retry_after: toSeconds(refusal.retryAfterMs),
    },
  }));
  const headers: Record<string, string> = {
    "content-type": "application/json",
    "content-length": String(body.length),
    // Client libraries retry 409 and 5xx on their own. Without this header
    // they would repeat work that ran or may have run.
    "x-should-retry": String(canRetry(refusal)),
    ...options.headers,
  };
  if (options.requestId !== undefined) {
    headers["x-request-id"] = options.requestId;
  }
  if (refusal.retryAfterMs !== undefined) {
    headers["retry-after"] ??= String(
      Math.ceil(refusal.retryAfterMs / MS_PER_SECOND),
    );
  }
  return { status: options.status ?? kind.status, headers, body };
}

/**
 * Answers with a refusal. If the head is already sent, aborts the answer
 * instead, so that the caller cannot mistake it for a complete one.
 */
export async function writeRefusal(
  sink: CallerSink,
  refusal: Refusal,
  options: RefusalOptions,
): Promise<void> {
  if (sink.headWritten) {
    sink.destroy();
    return;
  }
  const answer = buildRefusal(refusal, options);
  sink.writeHead(answer.status, answer.headers);
  await sink.write(answer.body);
  await sink.end();
}

function toKind(status: number, type: RefusalType): RefusalKind {
  return { status, type };
}

function toSeconds(ms: number | undefined): number | null {
  return ms === undefined ? null : ms / MS_PER_SECOND;
}

function canRetry(refusal: Refusal): boolean {
  return refusal.outcome === "not_run" && refusal.retryAfterMs !== undefined;
}
