/**
 * What callers of a routed VM may send, by the configuration in force.
 *
 * @module
 */
import {
  type CallerLimits,
  DEFAULT_CALLER_LIMITS,
} from "../connection/caller_listener.ts";
import type { CallerBounds } from "../version/routes.ts";

/** Heads up to this size are read; the configuration's bound is below it. */
const MAX_HEADER_BYTES = 65_536;
/**
 * Kept connections stay open a little longer than callers may use them, so
 * that a request does not cross the close.
 */
const IDLE_MARGIN_MS = 1_000;

/** Until there is a configuration. */
export const FIRST_CALLER_LIMITS: CallerLimits = {
  ...DEFAULT_CALLER_LIMITS,
  maxHeaderBytes: MAX_HEADER_BYTES,
};

/** Under a configuration with `bounds`. */
export function buildCallerLimits(bounds: CallerBounds): CallerLimits {
  return {
    ...DEFAULT_CALLER_LIMITS,
    maxHeaderBytes: bounds.maxHeaderBytes,
    maxBodyBytes: bounds.maxBodyBytes,
    headersTimeoutMs: bounds.headersTimeoutMs,
    keepAliveMs: bounds.idleTimeoutMs + IDLE_MARGIN_MS,
  };
}
