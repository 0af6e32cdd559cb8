/**
 * Cost of the pauses that prefills cause to interactive streams, in a pool too
 * small to reserve replicas for them.
 *
 * @module
 */
import type { LoadedReplica } from "./interactive_replicas.ts";

/**
 * Cost of each millisecond of prefill to each interactive stream at the
 * replica, in milliseconds: about a third of the pauses become longer than
 * callers accept.
 */
const PAUSE_COST_PER_PREFILL_MS = 0.3;
/**
 * Cost to an interactive stream of a replica that spends all its time on
 * prefill.
 */
const FULL_PREFILL_COST_MS = 500;

/**
 * Cost of pauses at a replica: of those that a prompt's prefill causes to the
 * interactive streams there, and of those that prefills there cause to a new
 * interactive stream. It applies only where no replicas are reserved: elsewhere
 * it would merely keep long prompts from the replicas that hold their parts.
 */
export function computePauseCostMs(
  { load, prefillShare }: LoadedReplica,
  isInteractive: boolean,
  prefillMs: number,
): number {
  const ownPauseMs = isInteractive ? FULL_PREFILL_COST_MS * prefillShare : 0;
  return ownPauseMs + PAUSE_COST_PER_PREFILL_MS * prefillMs * load.interactive;
}
