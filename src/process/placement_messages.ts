/**
 * Contents of the messages by which VMs request placements and report their
 * work.
 *
 * @module
 */
import { match } from "ts-pattern";
import type {
  PlacementAnswerMessage,
  WorkReport,
} from "./seeded_fleet/index.ts";
import type { WaitDecision } from "./waiting/index.ts";

/** Result of `formatLoads` for a VM without work. */
export const NO_LOADS = "[[],[],[],[]]";

/** Builds the answer to placement request `ask`. */
export function buildAnswer(
  ask: number,
  decision: WaitDecision,
): PlacementAnswerMessage {
  const answer = { kind: "answer" as const, ask, isFull: false };
  return match(decision)
    .returnType<PlacementAnswerMessage>()
    .with({ kind: "placed" }, ({ placement: { replica, ...placed } }) => ({
      ...answer,
      placed: { ...placed, replica: replica.id },
    }))
    .with({ kind: "waiting" }, () => ({ ...answer, isWaiting: true }))
    .with({ kind: "expired" }, () => ({ ...answer, isExpired: true }))
    .exhaustive();
}

/**
 * Formats the entries that every report repeats, to detect whether any of them
 * changed.
 */
export function formatLoads(
  { loads, limits, leaving }: WorkReport,
  waiting: readonly number[],
): string {
  const sent = limits.map((
    [replica, requestsPerS, _ageMs, count],
  ) => [replica, requestsPerS, count]);
  const leavingIds = leaving.map(([replica]) => replica);
  return JSON.stringify([loads, sent, leavingIds, waiting]);
}
