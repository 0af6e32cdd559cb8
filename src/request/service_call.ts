/**
 * Headers and idempotency of calls to plain services.
 *
 * @module
 */
import { CLASS_HEADER } from "./authenticate.ts";

/**
 * `false` marks a call as not idempotent, `true` marks a POST as idempotent.
 */
const IDEMPOTENT_HEADER = "x-idempotent";

const ROUTER_ONLY_HEADERS = new Set([
  // The workspace's API key must not reach the service.
  "authorization",
  "content-length",
  "host",
  CLASS_HEADER,
  IDEMPOTENT_HEADER,
]);
const IDEMPOTENT_METHODS = new Set([
  "GET",
  "HEAD",
  "OPTIONS",
  "PUT",
  "DELETE",
]);

/** Whether the caller's header marks the call as not idempotent. */
export function isMarkedNonIdempotent(
  headers: Record<string, string>,
): boolean {
  return headers[IDEMPOTENT_HEADER] === "false";
}

/**
 * Whether a service's call may run more than once: its class must be
 * idempotent, and so must be its method unless the header overrides it.
 */
export function isIdempotentCall(
  call: { method: string; headers: Record<string, string> },
  isClassIdempotent: boolean,
): boolean {
  const isMarkedIdempotent = call.headers[IDEMPOTENT_HEADER] === "true";
  return isClassIdempotent && !isMarkedNonIdempotent(call.headers) &&
    (isMarkedIdempotent || IDEMPOTENT_METHODS.has(call.method));
}

/** The caller's headers without those that only the router uses. */
export function copyServiceHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const copied = Object.entries(headers)
    .filter(([name]) => !ROUTER_ONLY_HEADERS.has(name));
  return Object.fromEntries(copied);
}
