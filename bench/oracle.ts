/**
 * Checks the promises that a run can break, from outside the router.
 *
 * @module
 */
import type { VmId } from "../src/ids.ts";
import type { Snapshot } from "../src/version/index.ts";
import type { Preemption } from "./support/bench_router.ts";
import type { CallerResult, RequestTrace } from "./support/caller_result.ts";
import type { SendRecord } from "./support/virtual_upstreams.ts";
import type { BenchRequest } from "./support/workload.ts";

/** A promise that can be broken. */
export type PromiseName =
  /** Bytes of another request, or a whole answer that is not the right one. */
  | "wrong_answer"
  /** A non-idempotent call was carried out more than once. */
  | "doubled"
  /** "Not run" was said of a request that ran. */
  | "false_not_run"
  /** A higher tier was shed while a lower one waited and was served later. */
  | "higher_tier_shed"
  /** A slot was taken back and given to a lower tier. */
  | "preempted_for_lower_tier"
  /** A class waited longer than its stated bound. */
  | "starved"
  /** The caller was never told anything. */
  | "unaccounted";

/** One broken promise. */
export interface BrokenPromise {
  promise: PromiseName;
  tag: number;
  detail: string;
}

/** Everything that was seen of one run. */
export interface RunEvidence {
  snapshot: Snapshot;
  traces: readonly RequestTrace[];
  results: ReadonlyMap<number, CallerResult>;
  sends: readonly SendRecord[];
  executions: ReadonlyMap<number, number>;
  preemptions: readonly Preemption[];
  /** VMs that were destroyed; their callers' connections ended with them. */
  destroyed: ReadonlySet<VmId>;
}

/** Finds every broken promise of one run. */
export function findBrokenPromises(evidence: RunEvidence): BrokenPromise[] {
  return [
    ...evidence.traces.flatMap((trace) => checkRequest(trace, evidence)),
    ...findTierFaults(evidence),
    ...findPreemptionFaults(evidence),
    ...findStarvation(evidence),
  ];
}

function checkRequest(
  trace: RequestTrace,
  evidence: RunEvidence,
): BrokenPromise[] {
  const { request } = trace;
  const result = evidence.results.get(request.tag)!;
  const executions = evidence.executions.get(request.tag) ?? 0;
  const broken: BrokenPromise[] = [];
  const add = (promise: PromiseName, detail: string) => {
    broken.push({ promise, tag: request.tag, detail });
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
  return broken;
}

function hasRun(request: BenchRequest, evidence: RunEvidence): boolean {
  if (request.kind === "service") {
    return (evidence.executions.get(request.tag) ?? 0) > 0;
  }
  return evidence.sends.some(({ tag, accepted }) =>
    accepted && tag === request.tag
  );
}

/** When each request first reached an upstream. */
export function collectFirstSends(
  sends: readonly SendRecord[],
): Map<number, number> {
  const first = new Map<number, number>();
  for (const { tag, at } of sends) {
    if (!first.has(tag)) first.set(tag, at);
  }
  return first;
}

function findTierFaults(evidence: RunEvidence): BrokenPromise[] {
  const firstSends = collectFirstSends(evidence.sends);
  const shed = evidence.traces.filter(({ request }) => {
    const { end } = evidence.results.get(request.tag)!;
    return end.kind === "refused" && end.code === "shed";
  });
  return shed.flatMap(({ request, view }) => {
    const shedAt = view.endedAt!;
    const favoured = evidence.traces.find(({ request: other }) =>
      other.pool === request.pool && other.rank > request.rank &&
      other.at < shedAt && (firstSends.get(other.tag) ?? -Infinity) > shedAt
    );
    if (favoured === undefined) return [];
    const detail = `${request.className} was shed while ` +
      `${favoured.request.className} waited`;
    return [{ promise: "higher_tier_shed" as const, tag: request.tag, detail }];
  });
}

/** The next request on a slot that was taken back must be of a higher tier. */
function findPreemptionFaults(evidence: RunEvidence): BrokenPromise[] {
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
    const next = evidence.sends
      .find((send) => send.upstream === upstream && send.at >= at);
    const taker = next && byTag.get(next.tag);
    if (taken === undefined || taker === undefined) return [];
    if (taker.rank <= taken.rank) return [];
    const detail = `${taken.className} yielded to ${taker.className}`;
    return [{
      promise: "preempted_for_lower_tier" as const,
      tag: taken.tag,
      detail,
    }];
  });
}

function findStarvation(evidence: RunEvidence): BrokenPromise[] {
  return [...evidence.snapshot.classes.values()].flatMap((requestClass) => {
    const { name, maxWaitMs } = requestClass;
    const stall = computeLongestStall(evidence, name);
    if (stall.ms <= maxWaitMs) return [];
    const detail = `${name} had waiters and no progress for ` +
      `${Math.round(stall.ms)} ms; its bound is ${maxWaitMs} ms`;
    return [{ promise: "starved" as const, tag: stall.tag, detail }];
  });
}

/**
 * The longest time in which requests of a class waited and none of them was
 * sent or refused: the wait of the class's head is never longer.
 */
export function computeLongestStall(
  evidence: Pick<RunEvidence, "traces" | "sends">,
  className: string,
): { ms: number; tag: number } {
  const firstSends = collectFirstSends(evidence.sends);
  const events = evidence.traces
    .filter(({ request }) => request.className === className)
    .flatMap(({ request, view }) => {
      const { tag, at } = request;
      const leftAt = firstSends.get(tag) ?? view.endedAt ?? Infinity;
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
