/**
 * A bound on goodput that no router can beat, since it knows every length.
 *
 * @module
 */
import type { EngineOptions } from "../standin/engine_options.ts";
import { computeTokenMs } from "./support/workload.ts";
import type { BenchRequest } from "./support/workload.ts";

/** What the bound is computed from. */
export interface BoundOptions {
  requests: readonly BenchRequest[];
  engine: EngineOptions;
  replicas: number;
  durationMs: number;
}

/**
 * The most tokens that callers can have by `durationMs`, whoever schedules.
 *
 * It bounds tokens of model answers from above and nothing else. A token takes
 * at least its part of the step of a full batch, and a prompt at least the
 * time for the part that it shares with no other request; no request has
 * tokens sooner than its batch of one would give them. Within the replicas'
 * whole time it takes the requests with the most tokens for their work, in
 * parts where one does not fit. It leaves out arrival order, latency targets,
 * half-empty batches, the first computation of shared prompt parts and every
 * fault, so it is above what is possible, and further above in scenarios with
 * faults.
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
  const promptMs = request.ownPromptTokens * engine.prefillMsPerToken;
  return { tokens, workMs: tokens * computeTokenMs(engine) + promptMs };
}
