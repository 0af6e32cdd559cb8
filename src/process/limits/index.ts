/**
 * Fleet-wide limits of workspaces.
 *
 * @module
 */
export { BURST_MS } from "./limit_bucket.ts";
export { CHUNK_TTL_MS } from "./limit_owner.ts";
export { RequestRateLimiter } from "./request_rate_limiter.ts";
export {
  WorkspaceLimits,
  type WorkspaceLimitsOptions,
} from "./workspace_limits.ts";
