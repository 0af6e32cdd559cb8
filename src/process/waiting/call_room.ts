/**
 * When a replica of a plain service has room for a call that waits elsewhere.
 *
 * @module
 */
import type { PlacementRequest } from "../placement/index.ts";

/**
 * The loads that this VM knows are this old: VMs report them every 150 ms, and
 * within 40 ms while their requests wait. A call that is reported as running may
 * have ended this long ago.
 */
const LOAD_REPORT_LAG_MS = 100;
/**
 * Longest wait at a replica that has room: until the calls that run there have
 * ended, and then for the next free slot.
 */
export const MAX_REPLICA_WAIT_MS = 1.5 * LOAD_REPORT_LAG_MS;
/** Shorter calls count as this long. */
const MIN_CALL_MS = 40;

/**
 * Requests at a replica, as a share of its slots, up to which it has room.
 * Reported loads lag, so a replica gets the next calls while those before them
 * are about to end; of calls whose length nobody knows yet, none may be.
 */
export function computeMaxRunningShare(
  { waiting }: PlacementRequest,
): number {
  const knownMs = waiting?.expectedMs ?? 0;
  if (knownMs === 0) return 1;
  const expectedMs = Math.max(MIN_CALL_MS, knownMs);
  return 1 + LOAD_REPORT_LAG_MS / expectedMs;
}
