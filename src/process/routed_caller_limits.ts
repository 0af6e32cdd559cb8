/**
 * Limits on callers' requests and connections, from the active configuration.
 *
 * @module
 */
import {
  type CallerLimits,
  DEFAULT_CALLER_LIMITS,
} from "../connection/caller_listener.ts";
import type { CallerBounds } from "../version/routes.ts";

/** The HTTP parser's limit on headers; the configured limit is below it. */
const MAX_HEADER_BYTES = 65_536;
/**
 * Idle connections stay open a little longer than callers may use them, so that
 * no request arrives while the connection is being closed.
 */
const IDLE_MARGIN_MS = 1_000;

/** Limits until the first configuration. */
export const INITIAL_CALLER_LIMITS: CallerLimits = {
  ...DEFAULT_CALLER_LIMITS,
  maxHeaderBytes: MAX_HEADER_BYTES,
};

/** Limits under a configuration with `bounds`. */
export function buildCallerLimits(bounds: CallerBounds): CallerLimits {
  return {
    ...DEFAULT_CALLER_LIMITS,
    maxHeaderBytes: bounds.maxHeaderBytes,
    maxBodyBytes: bounds.maxBodyBytes,
    headersTimeoutMs: bounds.headersTimeoutMs,
    keepAliveMs: bounds.idleTimeoutMs + IDLE_MARGIN_MS,
  };
}
