/**
 * Passing of requests from a VM that lost its links to replicas to another.
 *
 * @module
 */
export { ForwardedHandler } from "./forwarded_handler.ts";
export {
  buildForwardedLimits,
  createForwardedListener,
} from "./forwarded_listener.ts";
export { RequestForwarding } from "./request_forwarding.ts";
