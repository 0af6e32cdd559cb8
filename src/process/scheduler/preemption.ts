/**
 * Whether running work should make room for a request of a higher tier.
 *
 * @module
 */
import type { Policy } from "../../version/records.ts";
import type { LeaseEntry } from "./lease_ledger.ts";

/**
 * What a preempted request costs when it resumes: its prompt and the tokens
 * that it has are read again, at this part of the price of generating one.
 */
const REREAD_COST = 0.1;
/** The share of slots that may be on their way back at one time. */
const MAX_PREEMPTED_SHARE = 0.1;
/** A victim with less left than this is let finish, in milliseconds. */
const MIN_REMAINING_MS = 500;

/** A waiting request that found no slot. */
export interface PreemptionWish {
  rank: number;
  /** Granted later than this, it misses its target. */
  startBy: number;
  /** The owner's time at which the question is asked. */
  now: number;
  /** Expected time until a slot is free without preemption. */
  expectedWaitMs: number;
  /** Expected time until a preempted slot is back. */
  returnMs: number;
}

/** What the choice of a victim rests on. */
export interface PreemptionState {
  policy: Policy;
  slots: number;
  leases: Iterable<LeaseEntry>;
  /** Expected time in the slot still to come. */
  computeRemainingMs: (lease: LeaseEntry) => number;
  /** Whether the lease's replica could serve the waiting request. */
  isUseful: (lease: LeaseEntry) => boolean;
}

/**
 * The lease to preempt for `wish`; undefined where it does not pay. Only
 * idempotent work of a strictly lower tier is ever taken, and none twice.
 */
export function chooseVictim(
  wish: PreemptionWish,
  state: PreemptionState,
): LeaseEntry | undefined {
  if (!state.policy.preemption || !isHelped(wish)) return undefined;
  let best: LeaseEntry | undefined;
  let bestRank = -1;
  let bestCost = Infinity;
  let preempted = 0;
  for (const lease of state.leases) {
    if (lease.preempted) preempted++;
    if (!canPreempt(lease, wish, state)) continue;
    const cost = computeCost(lease, wish, state);
    // The lowest tier first; within it the cheapest.
    if (lease.rank < bestRank) continue;
    if (lease.rank === bestRank && cost >= bestCost) continue;
    best = lease;
    bestRank = lease.rank;
    bestCost = cost;
  }
  const most = Math.max(1, Math.floor(MAX_PREEMPTED_SHARE * state.slots));
  if (preempted >= most) return undefined;
  return bestCost < state.policy.weights.attainment ? best : undefined;
}

/** A target is met with preemption and missed without. */
function isHelped(wish: PreemptionWish): boolean {
  const slack = wish.startBy - wish.now;
  return wish.expectedWaitMs > slack && wish.returnMs <= slack;
}

function canPreempt(
  lease: LeaseEntry,
  wish: PreemptionWish,
  state: PreemptionState,
): boolean {
  return lease.rank > wish.rank && lease.idempotent && lease.isOwnGrant &&
    !lease.preempted && lease.doneTokens === 0 && state.isUseful(lease) &&
    state.computeRemainingMs(lease) >
      Math.max(MIN_REMAINING_MS, wish.returnMs);
}

/**
 * The cost in the unit of the weights: one missed target counts
 * `weights.attainment`, the whole work of one request `weights.wastedWork`.
 */
function computeCost(
  lease: LeaseEntry,
  wish: PreemptionWish,
  state: PreemptionState,
): number {
  const { weights } = state.policy;
  const whole = Math.max(1, lease.expectedTokens, lease.tokens);
  const reread = REREAD_COST * (lease.promptTokens + lease.tokens);
  const wasted = weights.wastedWork * reread / whole;
  const remainingMs = state.computeRemainingMs(lease);
  const slack = lease.deadlineAt - wish.now - remainingMs;
  const isMissed = slack >= 0 && slack < wish.expectedWaitMs;
  return wasted + (isMissed ? weights.attainment : 0);
}
