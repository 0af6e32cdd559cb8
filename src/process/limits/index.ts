/**
 * Fleet-wide limits of workspaces.
 *
 * @module
 */
export { BURST_MS } from "./limit_bucket.ts";
export { CHUNK_TTL_MS } from "./limit_owner.ts";
export { RequestRate } from "./request_rate.ts";
export {
  WorkspaceLimits,
  type WorkspaceLimitsOptions,
} from "./workspace_limits.ts";
