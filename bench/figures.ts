/**
 * Computes the figures of one run from its records.
 *
 * @module
 */
import type { RequestClass } from "../src/version/index.ts";
import {
  collectFirstAttempts,
  computeLongestStall,
  findViolations,
  type RunEvidence,
  type Violation,
} from "./oracle.ts";
import type { CallerResult, RequestTrace } from "./support/caller_result.ts";

const MS_PER_SECOND = 1_000;

/** Figures of one request class. */
export interface ClassFigures {
  offered: number;
  /** Complete and within all targets. */
  met: number;
  /** Complete, but beyond a target. */
  late: number;
  /** Refusals by code. */
  refused: Record<string, number>;
  /** Cut off, wrong or never ended. */
  lost: number;
  /** Requests whose VM was destroyed; not part of any other count. */
  vmDestroyed: number;
  /** `met` divided by `offered` without `vmDestroyed`. */
  attainment: number;
  firstTokenP50Ms: number;
  firstTokenP99Ms: number;
  /** Longest time from arrival to the first send or the refusal. */
  longestWaitMs: number;
  /** Longest time without progress while requests waited. */
  longestStallMs: number;
  maxWaitMs: number;
}

/** Figures of one run. */
export interface RunFigures {
  scenario: string;
  user: string;
  seed: number;
  router: string;
  classes: Record<string, ClassFigures>;
  /** Tokens per second that callers received in useful answers. */
  goodput: number;
  /** Clairvoyant upper bound of `goodput`. */
  goodputBound: number;
  generatedTokens: number;
  /** Generated tokens that were not part of a useful answer. */
  wastedTokens: number;
  prefillTokens: number;
  /** Attempts per request. */
  sendsPerRequest: number;
  preemptions: number;
  broken: Record<string, number>;
  /** The first few violations as text. */
  brokenExamples: string[];
}

/** Inputs of a run's figures. */
export interface FiguresOptions {
  scenario: string;
  user: string;
  seed: number;
  router: string;
  evidence: RunEvidence;
  /** Time at which the arrivals started. */
  startMs: number;
  durationMs: number;
  goodputBoundTokens: number;
  generatedTokens: number;
  prefillTokens: number;
}

const MAX_EXAMPLES = 5;

/** Computes the figures of a finished run. */
export function computeFigures(options: FiguresOptions): RunFigures {
  const { evidence, scenario, user, seed, router } = options;
  const violations = findViolations(evidence);
  const useful = countUsefulTokens(options);
  const seconds = options.durationMs / MS_PER_SECOND;
  return {
    scenario,
    user,
    seed,
    router,
    classes: computeClasses(evidence),
    goodput: useful.inWindow / seconds,
    goodputBound: options.goodputBoundTokens / seconds,
    generatedTokens: options.generatedTokens,
    wastedTokens: options.generatedTokens - useful.all,
    prefillTokens: options.prefillTokens,
    sendsPerRequest: evidence.attempts.length / evidence.traces.length,
    preemptions: evidence.preemptions.length,
    broken: countViolations(violations),
    brokenExamples: violations.slice(0, MAX_EXAMPLES)
      .map(({ guarantee, tag, detail }) => `${guarantee} (${tag}): ${detail}`),
  };
}

function countViolations(
  violations: readonly Violation[],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { guarantee } of violations) {
    counts[guarantee] = (counts[guarantee] ?? 0) + 1;
  }
  return counts;
}

function countUsefulTokens(
  { evidence, startMs, durationMs }: FiguresOptions,
): { inWindow: number; all: number } {
  const endMs = startMs + durationMs;
  let inWindow = 0;
  let all = 0;
  for (const trace of evidence.traces) {
    const result = evidence.results.get(trace.request.tag)!;
    if (trace.request.kind !== "model") continue;
    if (!isUseful(trace, result, evidence)) continue;
    for (const { at, count } of result.tokens) {
      all += count;
      if (at <= endMs) inWindow += count;
    }
  }
  return { inWindow, all };
}

function getClass(trace: RequestTrace, evidence: RunEvidence): RequestClass {
  return evidence.snapshot.classes.get(trace.request.className)!;
}

function isUseful(
  trace: RequestTrace,
  result: CallerResult,
  evidence: RunEvidence,
): boolean {
  if (result.end.kind !== "whole") return false;
  const { lateIsUseful, targets } = getClass(trace, evidence);
  const totalMs = trace.view.endedAt! - trace.request.at;
  return lateIsUseful || totalMs <= targets.totalMs;
}

function isMet(
  trace: RequestTrace,
  result: CallerResult,
  evidence: RunEvidence,
): boolean {
  if (result.end.kind !== "whole") return false;
  const { targets } = getClass(trace, evidence);
  const { at } = trace.request;
  const first = result.tokens[0]!.at;
  const count = result.tokens.reduce((sum, piece) => sum + piece.count, 0);
  const spanMs = result.tokens.at(-1)!.at - first;
  const betweenMs = count > 1 ? spanMs / (count - 1) : 0;
  return first - at <= targets.firstTokenMs &&
    betweenMs <= targets.betweenTokensMs &&
    trace.view.endedAt! - at <= targets.totalMs;
}

function computeClasses(
  evidence: RunEvidence,
): Record<string, ClassFigures> {
  const firstAttempts = collectFirstAttempts(evidence.attempts);
  const classes: Record<string, ClassFigures> = {};
  for (const requestClass of evidence.snapshot.classes.values()) {
    const traces = evidence.traces
      .filter(({ request }) => request.className === requestClass.name);
    if (traces.length === 0) continue;
    classes[requestClass.name] = computeClass(traces, {
      requestClass,
      evidence,
      firstAttempts,
    });
  }
  return classes;
}

function computeClass(
  traces: readonly RequestTrace[],
  options: {
    requestClass: RequestClass;
    evidence: RunEvidence;
    firstAttempts: ReadonlyMap<number, number>;
  },
): ClassFigures {
  const { requestClass, evidence, firstAttempts } = options;
  const refused: Record<string, number> = {};
  const firstTokens: number[] = [];
  let met = 0;
  let late = 0;
  let lost = 0;
  let vmDestroyed = 0;
  let longestWaitMs = 0;
  for (const trace of traces) {
    const { request, view, vm } = trace;
    const result = evidence.results.get(request.tag)!;
    const leftAt = firstAttempts.get(request.tag) ?? view.endedAt ?? Infinity;
    longestWaitMs = Math.max(longestWaitMs, leftAt - request.at);
    const { end } = result;
    if (end.kind === "whole") {
      firstTokens.push(result.tokens[0]!.at - request.at);
      if (isMet(trace, result, evidence)) met += 1;
      else late += 1;
    } else if (end.kind === "refused") {
      refused[end.code] = (refused[end.code] ?? 0) + 1;
    } else if (end.kind === "cut" && evidence.destroyed.has(vm)) {
      vmDestroyed += 1;
    } else {
      lost += 1;
    }
  }
  firstTokens.sort((left, right) => left - right);
  const offered = traces.length;
  return {
    offered,
    met,
    late,
    refused,
    lost,
    vmDestroyed,
    attainment: met / Math.max(1, offered - vmDestroyed),
    firstTokenP50Ms: findQuantile(firstTokens, 0.5),
    firstTokenP99Ms: findQuantile(firstTokens, 0.99),
    longestWaitMs,
    longestStallMs: computeLongestStall(evidence, requestClass.name).ms,
    maxWaitMs: requestClass.maxWaitMs,
  };
}

function findQuantile(sorted: readonly number[], share: number): number {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return sorted[index] ?? 0;
}
