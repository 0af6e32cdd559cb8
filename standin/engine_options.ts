/**
 * Options of a stand-in engine: speed, memory, delays and behaviour.
 *
 * @module
 */

/** A model that is loaded on an engine. */
export interface LoadedModel {
  model: string;
  version: string;
  adapters: string[];
}

/** Options of one engine. Times are in milliseconds. */
export interface EngineOptions {
  /** Duration of a step of an empty batch. */
  baseMs: number;
  /** Time that each running request adds to a step. */
  perRunningMs: number;
  /** Multiplies the duration of every step; above 1 for a straggler. */
  speedFactor: number;
  prefillMsPerToken: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  prefillTokensPerStep: number;
  /** Maximum number of requests that run at once. */
  maxBatch: number;
  /** Memory capacity in tokens of running requests. */
  memoryTokens: number;
  /**
   * Capacity of the prefix cache; the least recently used are evicted first.
   */
  cachedPrefixes: number;
  /** Number of prompt tokens per hash in `x-prefix-hashes`. */
  tokensPerPrefix: number;
  /** Age of the values in a load report. */
  loadLagMs: number;
  /** Delay until a cache event is published. */
  cacheEventDelayMs: number;
  /** Share of cache events that are never published, 0 to 1. */
  cacheEventGapShare: number;
  /** Time to load a model after the command is accepted. */
  loadModelMs: number;
  /** Whether a command with an outdated fencing number is refused. */
  fencing: "checked" | "ignored";
  models: LoadedModel[];
}

/** Defaults; a model named `*` matches every name. */
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
