/**
 * Timers for the silence of another side.
 *
 * After a stall of this process its timers run before its sockets are read. An
 * answer that already waits in a socket would count as silence, and a VM that
 * lacks processor time would take itself for cut off.
 *
 * @module
 */
import type { CancelTimer, Clock } from "../process/clock.ts";

/** A timer that fires this much too late shows that the process was stalled. */
export const STALL_THRESHOLD_MS = 100;
/** Time after a stall to read what arrived during it. */
export const READ_GRACE_MS = 100;
/** For short timers, a delay by this share of their time shows a stall. */
const STALL_SHARE = 0.25;

/**
 * Calls `onSilence` after `ms`, or, if the process was stalled by then, once it
 * had time to read its sockets.
 */
export function startSilenceTimer(
  clock: Clock,
  ms: number,
  onSilence: () => void,
): CancelTimer {
  const dueAt = clock.now() + ms;
  const thresholdMs = Math.min(STALL_THRESHOLD_MS, STALL_SHARE * ms);
  const graceMs = Math.min(READ_GRACE_MS, ms);
  let cancelGrace: CancelTimer = () => {};
  const cancelTimer = clock.startTimer(ms, () => {
    if (clock.now() - dueAt < thresholdMs) return onSilence();
    cancelGrace = startSilenceTimer(clock, graceMs, onSilence);
  });
  return () => {
    cancelTimer();
    cancelGrace();
  };
}
