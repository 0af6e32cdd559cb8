/**
 * Decides which running request to preempt for one of a higher tier.
 *
 * @module
 */
import type { Policy } from "../../version/records.ts";
import type { LeaseEntry } from "./lease_ledger.ts";

/**
 * Cost of prefilling a token relative to generating one. A resumed request
 * prefills its prompt and the tokens generated so far again.
 */
const PREFILL_TOKEN_COST = 0.1;
/** Maximum share of the slots that may be preempted at the same time. */
const MAX_PREEMPTED_SHARE = 0.1;
/** Leases with less remaining time than this are not preempted. */
const MIN_REMAINING_MS = 500;

/** A waiting request that found no free slot. */
export interface PreemptionRequest {
  rank: number;
  /** Latest grant that still meets its target. */
  startBy: number;
  /** Current time of the owner's clock. */
  now: number;
  /** Expected time until a slot is free without preemption. */
  expectedWaitMs: number;
  /** Expected time until a preempted slot is free. */
  returnMs: number;
}

/** The state that the choice of a victim depends on. */
export interface PreemptionState {
  policy: Policy;
  slots: number;
  leases: Iterable<LeaseEntry>;
  /** Returns the expected remaining time in the slot. */
  computeRemainingMs: (lease: LeaseEntry) => number;
  /** Whether the lease's replica can serve the waiting request. */
  isUseful: (lease: LeaseEntry) => boolean;
}

/**
 * Returns the lease to preempt for `request`, or undefined if none is worth its
 * cost. Only idempotent requests of a strictly lower tier are preempted, and
 * none of them twice.
 */
export function chooseVictim(
  request: PreemptionRequest,
  state: PreemptionState,
): LeaseEntry | undefined {
  if (!state.policy.preemption || !canMeetTarget(request)) return undefined;
  let best: LeaseEntry | undefined;
  let bestRank = -1;
  let bestCost = Infinity;
  let preempted = 0;
  for (const lease of state.leases) {
    if (lease.preempted) preempted++;
    if (!canPreempt(lease, request, state)) continue;
    const cost = computeCost(lease, request, state);
    // Prefer the lowest tier, then the lowest cost.
    if (lease.rank < bestRank) continue;
    if (lease.rank === bestRank && cost >= bestCost) continue;
    best = lease;
    bestRank = lease.rank;
    bestCost = cost;
  }
  const maxPreempted = Math.max(
    1,
    Math.floor(MAX_PREEMPTED_SHARE * state.slots),
  );
  if (preempted >= maxPreempted) return undefined;
  return bestCost < state.policy.weights.attainment ? best : undefined;
}

/** Whether the target is met with preemption and missed without it. */
function canMeetTarget(request: PreemptionRequest): boolean {
  const slack = request.startBy - request.now;
  return request.expectedWaitMs > slack && request.returnMs <= slack;
}

function canPreempt(
  lease: LeaseEntry,
  request: PreemptionRequest,
  state: PreemptionState,
): boolean {
  return lease.rank > request.rank && lease.idempotent && lease.isOwnGrant &&
    !lease.preempted && lease.doneTokens === 0 && state.isUseful(lease) &&
    state.computeRemainingMs(lease) >
      Math.max(MIN_REMAINING_MS, request.returnMs);
}

/**
 * Returns the cost in units of the policy's weights: a missed target costs
 * `weights.attainment`, and wasting the whole work of a request costs
 * `weights.wastedWork`.
 */
function computeCost(
  lease: LeaseEntry,
  request: PreemptionRequest,
  state: PreemptionState,
): number {
  const { weights } = state.policy;
  const totalTokens = Math.max(1, lease.expectedTokens, lease.tokens);
  const prefillCost = PREFILL_TOKEN_COST * (lease.promptTokens + lease.tokens);
  const wasted = weights.wastedWork * prefillCost / totalTokens;
  const remainingMs = state.computeRemainingMs(lease);
  const slack = lease.deadlineAt - request.now - remainingMs;
  const isMissed = slack >= 0 && slack < request.expectedWaitMs;
  return wasted + (isMissed ? weights.attainment : 0);
}
