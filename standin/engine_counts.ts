/**
 * Counters of a stand-in engine.
 *
 * @module
 */

/** Totals since the engine was created. */
export interface EngineCounts {
  accepted: number;
  refused: number;
  answered: number;
  cancelled: number;
  crashed: number;
  /** Generated tokens. */
  tokens: number;
  /** Prompt and resumed tokens that were prefilled. */
  prefillTokens: number;
  /** Prompt tokens found in the prefix cache. */
  cachedTokens: number;
  /** Runs returned to the queue for lack of memory. */
  putBack: number;
  acceptedWhileLeaving: number;
  /** Time from the start of leaving to the last accepted request. */
  lastAcceptedAfterLeavingMs: number;
}

/** Creates counters that are all 0. */
export function createCounts(): EngineCounts {
  return {
    accepted: 0,
    refused: 0,
    answered: 0,
    cancelled: 0,
    crashed: 0,
    tokens: 0,
    prefillTokens: 0,
    cachedTokens: 0,
    putBack: 0,
    acceptedWhileLeaving: 0,
    lastAcceptedAfterLeavingMs: 0,
  };
}
