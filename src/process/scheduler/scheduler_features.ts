/**
 * Switches for each decision, so that a bench can measure what it is worth.
 *
 * @module
 */

/** Which decisions are on; all of them in production. */
export interface SchedulerFeatures {
  /** Strict order of tiers at granting and shedding. */
  tiers: boolean;
  /** Earliest feasible start first within a tier; else first come. */
  deadlineOrder: boolean;
  /** Weighted fair sharing between the workspaces of a class. */
  fairShare: boolean;
  /** Minimum share and bounded wait of each class. */
  progress: boolean;
  /** Class queue limits, tier caps, the reserve that long work cannot take. */
  crowding: boolean;
  /** Shedding when the whole queue is over its bound. */
  shedding: boolean;
  /** Passing a request to another shard before shedding. */
  passOn: boolean;
  preemption: boolean;
  /** Early refusal of work that cannot finish in time. */
  admission: boolean;
  /** Learnt output lengths; else the class's cap is the guess. */
  learntLengths: boolean;
  /** Slots per replica that adapt; else the pool's initial number. */
  adaptiveRoom: boolean;
  /** Correcting the ledger by load reports. */
  loadReports: boolean;
  /** Choosing replicas that hold the prompt's prefix. */
  prefixAffinity: boolean;
  /** Ejecting stragglers and failing replicas. */
  ejection: boolean;
  /** Passing the tier on to the engine as its priority. */
  enginePriority: boolean;
}

/** Every decision on. */
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

/** All decisions, but for those that `changes` names. */
export function buildFeatures(
  changes: Partial<SchedulerFeatures> = {},
): SchedulerFeatures {
  return { ...ALL_FEATURES, ...changes };
}
