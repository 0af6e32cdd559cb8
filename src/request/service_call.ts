/**
 * What of a plain service's call passes through the router.
 *
 * @module
 */
import { CLASS_HEADER } from "./authenticate.ts";

/** `false` marks work as not idempotent, `true` a POST as idempotent. */
const IDEMPOTENT_HEADER = "x-idempotent";

const NOT_PASSED_ON = new Set([
  // The workspace's key is for the router alone.
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

/** Whether the caller's header says that the work is not idempotent. */
export function isMarkedOnce(headers: Record<string, string>): boolean {
  return headers[IDEMPOTENT_HEADER] === "false";
}

/**
 * Whether a service's call may run more than once: only if its class says so,
 * and its method does, or its header in the method's place.
 */
export function isIdempotentCall(
  call: { method: string; headers: Record<string, string> },
  isClassIdempotent: boolean,
): boolean {
  const isMarkedIdempotent = call.headers[IDEMPOTENT_HEADER] === "true";
  return isClassIdempotent && !isMarkedOnce(call.headers) &&
    (isMarkedIdempotent || IDEMPOTENT_METHODS.has(call.method));
}

/** The caller's headers without those that are meant for the router. */
export function copyServiceHeaders(
  headers: Record<string, string>,
): Record<string, string> {
  const copied = Object.entries(headers)
    .filter(([name]) => !NOT_PASSED_ON.has(name));
  return Object.fromEntries(copied);
}
