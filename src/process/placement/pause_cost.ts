/**
 * What pauses cost in a pool that is too small to keep replicas for interactive
 * streams.
 *
 * @module
 */
import type { LoadedReplica } from "./interactive_replicas.ts";

/**
 * What each millisecond of prefill costs each interactive stream there, in
 * milliseconds: about one pause in three becomes longer than callers accept.
 */
const PAUSE_WEIGHT = 0.3;
/**
 * A replica that only reads is as good for an interactive stream as one so much
 * slower, in ms.
 */
const PREFILL_MS = 500;

/**
 * What a prompt's prefill costs the interactive streams there, and the prefills
 * there an interactive stream, in a pool that keeps no replicas for interactive
 * streams. In one that does this would only keep long prompts from the replicas
 * that hold their parts.
 */
export function computePauses(
  { load, prefillShare }: LoadedReplica,
  isInteractive: boolean,
  prefillMs: number,
): number {
  const ofInteractive = isInteractive ? PREFILL_MS * prefillShare : 0;
  return ofInteractive + PAUSE_WEIGHT * prefillMs * load.interactive;
}
