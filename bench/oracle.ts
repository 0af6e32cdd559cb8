/**
 * Checks the router's guarantees on a finished run, from callers' and
 * upstreams' records only.
 *
 * @module
 */
import type { VmId } from "../src/ids.ts";
import type { Snapshot } from "../src/version/index.ts";
import type { Preemption } from "./support/bench_router.ts";
import type { CallerResult, RequestTrace } from "./support/caller_result.ts";
import type { AttemptRecord } from "./support/virtual_upstreams.ts";
import type { BenchRequest } from "./support/workload.ts";

/** A guarantee that a run may violate. */
export type GuaranteeName =
  /** The caller received another request's bytes or a wrong complete answer. */
  | "wrong_answer"
  /** A non-idempotent call was executed more than once. */
  | "doubled"
  /** A request that ran was reported as not run. */
  | "false_not_run"
  /**
   * A request was shed while one of a lower tier waited and was served later.
   */
  | "higher_tier_shed"
  /** A preempted slot was granted to a lower tier. */
  | "preempted_for_lower_tier"
  /** A class waited longer than its `max_wait_ms`. */
  | "starved"
  /** The caller's connection was never ended. */
  | "unaccounted";

/** One violated guarantee. */
export interface Violation {
  guarantee: GuaranteeName;
  tag: number;
  detail: string;
}

/** Records of one run. */
export interface RunEvidence {
  snapshot: Snapshot;
  traces: readonly RequestTrace[];
  results: ReadonlyMap<number, CallerResult>;
  attempts: readonly AttemptRecord[];
  executions: ReadonlyMap<number, number>;
  preemptions: readonly Preemption[];
  /** VMs destroyed during the run, which closed their callers' connections. */
  destroyed: ReadonlySet<VmId>;
}

/** Finds all violations of one run. */
export function findViolations(evidence: RunEvidence): Violation[] {
  return [
    ...evidence.traces.flatMap((trace) => checkRequest(trace, evidence)),
    ...findTierViolations(evidence),
    ...findPreemptionViolations(evidence),
    ...findStarvation(evidence),
  ];
}

function checkRequest(
  trace: RequestTrace,
  evidence: RunEvidence,
): Violation[] {
  const { request } = trace;
  const result = evidence.results.get(request.tag)!;
  const executions = evidence.executions.get(request.tag) ?? 0;
  const violations: Violation[] = [];
  const add = (guarantee: GuaranteeName, detail: string) => {
    violations.push({ guarantee, tag: request.tag, detail });
  };
  if (result.end.kind === "wrong" || !result.isOwnText) {
    add("wrong_answer", `${request.className}`);
  }
  if (!request.idempotent && executions > 1) {
    add("doubled", `${request.className} ran ${executions} times`);
  }
  const saysNotRun = result.end.kind === "refused" &&
    result.end.outcome === "not_run";
  if (saysNotRun && hasRun(request, evidence)) {
    add("false_not_run", `${request.className}`);
  }
  if (result.end.kind === "open") add("unaccounted", `${request.className}`);
  return violations;
}

function hasRun(request: BenchRequest, evidence: RunEvidence): boolean {
  if (request.kind === "service") {
    return (evidence.executions.get(request.tag) ?? 0) > 0;
  }
  return evidence.attempts.some(({ tag, accepted }) =>
    accepted && tag === request.tag
  );
}

/** Returns when each request first reached an upstream, by tag. */
export function collectFirstAttempts(
  attempts: readonly AttemptRecord[],
): Map<number, number> {
  const first = new Map<number, number>();
  for (const { tag, at } of attempts) {
    if (!first.has(tag)) first.set(tag, at);
  }
  return first;
}

function findTierViolations(evidence: RunEvidence): Violation[] {
  const firstAttempts = collectFirstAttempts(evidence.attempts);
  const shed = evidence.traces.filter(({ request }) => {
    const { end } = evidence.results.get(request.tag)!;
    return end.kind === "refused" && end.code === "shed";
  });
  return shed.flatMap(({ request, view }) => {
    const shedAt = view.endedAt!;
    const favoured = evidence.traces.find(({ request: other }) =>
      other.pool === request.pool && other.rank > request.rank &&
      other.at < shedAt && (firstAttempts.get(other.tag) ?? -Infinity) > shedAt
    );
    if (favoured === undefined) return [];
    const detail = `${request.className} was shed while ` +
      `${favoured.request.className} of a lower tier waited`;
    return [{
      guarantee: "higher_tier_shed" as const,
      tag: request.tag,
      detail,
    }];
  });
}

/** Checks that the next request on a preempted slot is of a higher tier. */
function findPreemptionViolations(evidence: RunEvidence): Violation[] {
  const byId = new Map(
    evidence.traces.map(({ request, view }) =>
      [view.headers["x-request-id"], request] as const
    ),
  );
  const byTag = new Map(
    evidence.traces.map(({ request }) => [request.tag, request]),
  );
  return evidence.preemptions.flatMap(({ requestId, upstream, at }) => {
    const taken = byId.get(requestId);
    const next = evidence.attempts
      .find((attempt) => attempt.upstream === upstream && attempt.at >= at);
    const taker = next && byTag.get(next.tag);
    if (taken === undefined || taker === undefined) return [];
    if (taker.rank <= taken.rank) return [];
    const detail = `${taken.className} was preempted for ${taker.className}`;
    return [{
      guarantee: "preempted_for_lower_tier" as const,
      tag: taken.tag,
      detail,
    }];
  });
}

function findStarvation(evidence: RunEvidence): Violation[] {
  return [...evidence.snapshot.classes.values()].flatMap((requestClass) => {
    const { name, maxWaitMs } = requestClass;
    const stall = computeLongestStall(evidence, name);
    if (stall.ms <= maxWaitMs) return [];
    const detail = `${name} had waiting requests but no progress for ` +
      `${Math.round(stall.ms)} ms; max_wait_ms is ${maxWaitMs} ms`;
    return [{ guarantee: "starved" as const, tag: stall.tag, detail }];
  });
}

/**
 * Returns the longest time during which requests of a class waited and none of
 * them was sent or refused. It bounds the wait of the first request in the
 * class's queue.
 */
export function computeLongestStall(
  evidence: Pick<RunEvidence, "traces" | "attempts">,
  className: string,
): { ms: number; tag: number } {
  const firstAttempts = collectFirstAttempts(evidence.attempts);
  const events = evidence.traces
    .filter(({ request }) => request.className === className)
    .flatMap(({ request, view }) => {
      const { tag, at } = request;
      const leftAt = firstAttempts.get(tag) ?? view.endedAt ?? Infinity;
      return [{ at, change: 1, tag }, { at: leftAt, change: -1, tag }];
    })
    .sort((left, right) => left.at - right.at || right.change - left.change);
  let waiting = 0;
  let since = 0;
  let longest = { ms: 0, tag: 0 };
  for (const { at, change, tag } of events) {
    if (change > 0 && waiting === 0) since = at;
    waiting += change;
    if (change > 0) continue;
    if (at - since > longest.ms) longest = { ms: at - since, tag };
    since = at;
  }
  return longest;
}
