/**
 * Feature switches of the scheduler, so that a benchmark can measure the effect
 * of each.
 *
 * @module
 */

/** The enabled features; production enables all of them. */
export interface SchedulerFeatures {
  /** Strict tier priority when granting and shedding. */
  tiers: boolean;
  /** Earliest feasible start first within a tier; otherwise first come. */
  deadlineOrder: boolean;
  /** Weighted fair sharing between the workspaces of a class. */
  fairShare: boolean;
  /** Starvation protection: minimum share and bounded wait of each class. */
  progress: boolean;
  /** Class queue limits, tier slot caps and the reserve for short requests. */
  crowding: boolean;
  /** Shedding when the whole queue exceeds its bound. */
  shedding: boolean;
  /** Forwarding a request to another shard before it is shed. */
  passOn: boolean;
  /** Preempting lower tiers for a request that would miss its target. */
  preemption: boolean;
  /** Early refusal of requests that cannot finish in time. */
  admission: boolean;
  /** Learnt output lengths; otherwise the class's cap is the estimate. */
  learntLengths: boolean;
  /** Adaptive slot limit per replica; otherwise the pool's initial number. */
  adaptiveRoom: boolean;
  /** Correction of the ledger by load reports. */
  loadReports: boolean;
  /** Preference for replicas that have the prompt's prefix in their cache. */
  prefixAffinity: boolean;
  /** Ejection of stragglers and failing replicas. */
  ejection: boolean;
  /** Sending the tier to the engine as the request's priority. */
  enginePriority: boolean;
}

/** All features enabled. */
export const ALL_FEATURES: Readonly<SchedulerFeatures> = Object.freeze({
  tiers: true,
  deadlineOrder: true,
  fairShare: true,
  progress: true,
  crowding: true,
  shedding: true,
  passOn: true,
  preemption: true,
  admission: true,
  learntLengths: true,
  adaptiveRoom: true,
  loadReports: true,
  prefixAffinity: true,
  ejection: true,
  enginePriority: true,
});

/** Returns all features enabled, overridden by `changes`. */
export function buildFeatures(
  changes: Partial<SchedulerFeatures> = {},
): SchedulerFeatures {
  return { ...ALL_FEATURES, ...changes };
}
