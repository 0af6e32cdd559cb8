/**
 * Computes an upper bound of goodput, as for a scheduler that knows the length
 * of every answer in advance.
 *
 * @module
 */
import type { EngineOptions } from "../standin/engine_options.ts";
import { computeTokenMs } from "./support/workload.ts";
import type { BenchRequest } from "./support/workload.ts";

/** Inputs of the bound. */
export interface BoundOptions {
  requests: readonly BenchRequest[];
  engine: EngineOptions;
  replicas: number;
  durationMs: number;
}

/**
 * Returns an upper bound of the tokens of model answers that callers can
 * receive by `durationMs`, for any scheduler. Services do not count.
 *
 * Each token costs at least its share of a step with a full batch, each prompt
 * at least the prefill of its unique part, and no request generates faster than
 * in a batch of one. The bound fills the replicas' total time with the requests
 * that yield the most tokens for their work, the last one in part (a fractional
 * knapsack). It ignores arrival order, latency targets, partly filled batches,
 * the first prefill of shared prefixes and faults, so it cannot be reached, and
 * is looser in scenarios with faults.
 */
export function computeGoodputBound(options: BoundOptions): number {
  const { requests, replicas, durationMs } = options;
  const jobs = requests
    .filter(({ kind }) => kind === "model")
    .map((request) => buildJob(request, options))
    .sort((left, right) =>
      left.workMs / left.tokens - right.workMs / right.tokens
    );
  let leftMs = replicas * durationMs;
  let tokens = 0;
  for (const job of jobs) {
    const share = Math.min(1, leftMs / job.workMs);
    tokens += share * job.tokens;
    leftMs -= share * job.workMs;
    if (leftMs <= 0) break;
  }
  return tokens;
}

function buildJob(
  request: BenchRequest,
  { engine, durationMs }: BoundOptions,
): { tokens: number; workMs: number } {
  const aloneMs = engine.baseMs + engine.perRunningMs;
  const inTime = (durationMs - request.at) / aloneMs;
  const tokens = Math.max(1e-9, Math.min(request.tokens, inTime));
  const promptMs = request.uniquePromptTokens * engine.prefillMsPerToken;
  return { tokens, workMs: tokens * computeTokenMs(engine) + promptMs };
}
