/**
 * Which late calls will still get a turn.
 *
 * Late calls get only the room that calls on time leave. Their number grows
 * while a pool is overloaded, and most would wait until no answer is of use any
 * more. Their callers are better off with a refusal that comes early: they can
 * come back when there is room.
 *
 * @module
 */
import type { PoolName, WorkspaceName } from "../../ids.ts";
import type { WaitingRequest } from "./waiting_request.ts";

/**
 * Turns within this time, or within this many times a call's duration, tell how
 * many will follow.
 */
const MIN_WINDOW_MS = 2_000;
const WINDOW_CALLS = 4;
/** Share of that time after which the rate of turns is known. */
const KNOWN_SHARE = 0.5;

interface LateTurns {
  /** Since when late calls wait. */
  since: number;
  /** When late calls were placed; the oldest first. */
  placedAt: number[];
}

/** Turns of late calls by pool. */
export class LateTurnTracker {
  readonly #pools = new Map<PoolName, LateTurns>();

  static create(): LateTurnTracker {
    return new LateTurnTracker();
  }

  /** Records that a late call of the pool was placed. */
  notePlaced(pool: PoolName, now: number): void {
    this.#pools.get(pool)?.placedAt.push(now);
  }

  /**
   * Those of `late`, the oldest first, whose turn would come too late to be of
   * use. Calls of unknown duration are not judged.
   */
  listUnreachable(
    pool: PoolName,
    late: readonly WaitingRequest[],
    now: number,
  ): WaitingRequest[] {
    if (late.length === 0) {
      this.#pools.delete(pool);
      return [];
    }
    const turns = this.#pools.get(pool) ?? { since: now, placedAt: [] };
    this.#pools.set(pool, turns);
    const maxWindowMs = computeWindowMs(late);
    while (turns.placedAt[0]! < now - maxWindowMs) turns.placedAt.shift();
    const windowMs = Math.min(maxWindowMs, now - turns.since);
    if (windowMs < KNOWN_SHARE * maxWindowMs) return [];
    const intervalMs = windowMs / Math.max(1, turns.placedAt.length);
    let ahead = 0;
    return listByTurn(late).filter(({ dropAt, expectedMs }) => {
      const isUnreachable = expectedMs > 0 &&
        now + ahead * intervalMs > dropAt;
      if (!isUnreachable) ahead += 1;
      return isUnreachable;
    });
  }
}

function computeWindowMs(late: readonly WaitingRequest[]): number {
  const longestMs = Math.max(...late.map(({ expectedMs }) => expectedMs));
  return Math.max(MIN_WINDOW_MS, WINDOW_CALLS * longestMs);
}

/**
 * Workspaces take turns: the oldest call of each comes before the second of any,
 * so that a workspace with many late calls refuses none of another.
 */
function listByTurn(late: readonly WaitingRequest[]): WaitingRequest[] {
  const counts = new Map<WorkspaceName, number>();
  const turns = late.map((waiting) => {
    const turn = counts.get(waiting.workspace) ?? 0;
    counts.set(waiting.workspace, turn + 1);
    return { waiting, turn };
  });
  // The sort is stable: calls of one turn stay in the order of arrival.
  turns.sort((left, right) => left.turn - right.turn);
  return turns.map(({ waiting }) => waiting);
}
