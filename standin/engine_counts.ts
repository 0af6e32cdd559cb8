/**
 * What a stand-in engine has done so far.
 *
 * @module
 */

/** Totals since the engine was made. */
export interface EngineCounts {
  accepted: number;
  refused: number;
  answered: number;
  cancelled: number;
  crashed: number;
  /** Tokens generated. */
  tokens: number;
  /** Prompt and resumed tokens that were worked through. */
  prefillTokens: number;
  /** Tokens that the prefix cache spared. */
  cachedTokens: number;
  /** Runs put back because memory ran out. */
  putBack: number;
  acceptedWhileLeaving: number;
  /** The latest acceptance, counted from when the engine began to leave. */
  lastAcceptedAfterLeavingMs: number;
}

/** Counts that all stand at 0. */
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
