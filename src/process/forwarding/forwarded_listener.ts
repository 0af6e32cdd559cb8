/**
 * Listener for requests that other VMs pass on.
 *
 * @module
 */
import {
  type CallerLimits,
  CallerListener,
  type CallerListenerOptions,
} from "../../connection/caller_listener.ts";
import { INITIAL_CALLER_LIMITS } from "../routed_caller_limits.ts";
import { ForwardedHandler } from "./forwarded_handler.ts";

/** Options of `createForwardedListener`. */
export interface ForwardedListenerOptions
  extends Pick<CallerListenerOptions, "clock" | "log" | "handler" | "bodies"> {
  /** Whether a VM of the fleet has this IP address. */
  isPeer: (address: string) => boolean;
  maxConnections: number;
}

/** Creates the listener; `handler` handles what VMs of the fleet pass on. */
export function createForwardedListener(
  options: ForwardedListenerOptions,
): CallerListener {
  return CallerListener.create({
    ...options,
    limits: {
      ...INITIAL_CALLER_LIMITS,
      maxConnections: options.maxConnections,
    },
    handler: ForwardedHandler.create(options),
  });
}

/**
 * Limits that fit those of callers. Idle connections are kept for longer than
 * other VMs use them, whatever callers may do.
 */
export function buildForwardedLimits(limits: CallerLimits): CallerLimits {
  return { ...limits, keepAliveMs: INITIAL_CALLER_LIMITS.keepAliveMs };
}
