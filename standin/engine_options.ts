/**
 * What a stand-in engine is like: speed, memory, lag and manners.
 *
 * @module
 */

/** A model that an engine holds. */
export interface HeldModel {
  model: string;
  version: string;
  adapters: string[];
}

/** The make of one engine. Times are milliseconds. */
export interface EngineOptions {
  /** Time of one step of the batch, before its requests are counted. */
  baseMs: number;
  /** What each running request adds to the step. */
  perRunningMs: number;
  /** Multiplies every step; above 1 for a straggler. */
  speedFactor: number;
  prefillMsPerToken: number;
  /** Prompt tokens that one step works on at most. */
  prefillTokensPerStep: number;
  /** Requests that run at once. */
  maxBatch: number;
  /** Tokens of running requests that the memory holds. */
  memoryTokens: number;
  /** Prefixes that stay cached; the least recently used go first. */
  cachedPrefixes: number;
  /** Prompt tokens that each hash in `x-prefix-hashes` stands for. */
  tokensPerPrefix: number;
  /** Age of the figures in a load report. */
  loadLagMs: number;
  /** Time until a cache event can be read. */
  cacheEventDelayMs: number;
  /** Share of cache events that are never published, 0 to 1. */
  cacheEventGapShare: number;
  /** Time that an accepted load takes. */
  loadModelMs: number;
  /** Whether an order with an old fencing number is refused. */
  fencing: "checked" | "ignored";
  models: HeldModel[];
}

/** A middling engine; a model named `*` answers to every name. */
export const DEFAULT_ENGINE_OPTIONS: Readonly<EngineOptions> = {
  baseMs: 4,
  perRunningMs: 0.25,
  speedFactor: 1,
  prefillMsPerToken: 0.05,
  prefillTokensPerStep: 2048,
  maxBatch: 16,
  memoryTokens: 65_536,
  cachedPrefixes: 256,
  tokensPerPrefix: 256,
  loadLagMs: 500,
  cacheEventDelayMs: 500,
  cacheEventGapShare: 0.02,
  loadModelMs: 2_000,
  fencing: "checked",
  models: [{ model: "*", version: "1", adapters: [] }],
};
