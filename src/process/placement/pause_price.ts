/**
 * What pauses cost in a pool that is too small to keep replicas for talks.
 *
 * @module
 */
import type { LoadedReplica } from "./talk_replicas.ts";

/**
 * What each millisecond of reading costs each stream that talks there, in
 * milliseconds: about one pause in three becomes longer than callers accept.
 */
const PAUSE_WEIGHT = 0.3;
/** A replica that only reads is as good for a talk as one so much slower, in ms. */
const READING_MS = 500;

/**
 * What a prompt's reading costs the talks there, and the readings there a talk,
 * in a pool that keeps no replicas for talks. In one that does this would only
 * keep long prompts from the replicas that hold their parts.
 */
export function computePauses(
  { load, readingShare }: LoadedReplica,
  isTalk: boolean,
  readMs: number,
): number {
  const ofTalk = isTalk ? READING_MS * readingShare : 0;
  return ofTalk + PAUSE_WEIGHT * readMs * load.talking;
}
