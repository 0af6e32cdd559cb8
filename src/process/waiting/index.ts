/**
 * Calls that wait at the VM that places them until a replica has room.
 *
 * @module
 */
export { WaitingPlacements } from "./waiting_placements.ts";
export type { WaitCounts, WaitDecision } from "./waiting_placements.ts";
export type { WaitResult } from "./waiting_request.ts";
