/**
 * Outlier detection: ejects replicas that fail or are slower than the others.
 *
 * @module
 */
import type { Replica } from "./replica.ts";

/** A replica above this multiple of the median slowness is a straggler. */
const STRAGGLER_RATIO = 2.5;
/** A probed replica returns up to this multiple of the median slowness. */
const RETURN_RATIO = 1.5;
/** Consecutive failures that eject a replica. */
const MAX_CONSECUTIVE_FAILURES = 2;
/** Share of the replicas that stays in service, unless they are silent. */
const MIN_IN_SERVICE_SHARE = 0.5;
/** Consecutive load polls without an answer after which it counts as silent. */
const MAX_MISSED_POLLS = 2;
const FIRST_PROBE_MS = 3_000;
const MAX_PROBE_MS = 60_000;
/** Minimum number of replicas with a known slowness to find stragglers. */
const MIN_COMPARED_REPLICAS = 3;

/** Why a replica is ejected. */
type EjectionCause = "silent" | "failures" | "straggler";

/** An ejection or a return, for the log. */
export interface EjectionChange {
  replica: Replica;
  change: "ejected" | "returned";
  why: EjectionCause | "probe_met_median";
}

/**
 * Compares the replicas, ejects outliers and returns recovered ones.
 *
 * A replica that fails immediately looks idle and attracts all requests; a slow
 * one holds its requests past their targets. Either stands out from the other
 * replicas by its failures or latency. A minimum share stays in service, because
 * otherwise a slowdown of all replicas could eject every one of them.
 */
export function updateEjections(
  replicas: readonly Replica[],
  now: number,
): EjectionChange[] {
  const changes: EjectionChange[] = [];
  const median = computeMedianSlowness(replicas);
  const known = median?.compared ?? 0;
  const ejectionMedian = known >= MIN_COMPARED_REPLICAS
    ? median?.slowness
    : undefined;
  for (const replica of replicas) {
    const change = replica.ejected
      ? settleProbe(replica, { median: median?.slowness, now })
      : updateInService(replica, { replicas, median: ejectionMedian, now });
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

/** Whether an ejected replica may get one request as a probe. */
export function canProbe(replica: Replica, now: number): boolean {
  return replica.ejected && !replica.probing && now >= replica.probeAt;
}

/** Records a failed probe; the delay before the next one doubles. */
export function noteProbeFailed(replica: Replica, now: number): void {
  replica.probing = false;
  replica.ejections++;
  replica.latency.clear();
  replica.probeAt = now + computeProbeDelay(replica.ejections);
}

/** Records a finished probe; the next one may follow immediately. */
export function noteProbeDone(replica: Replica, now: number): void {
  replica.probing = false;
  replica.probeAt = now;
}

function settleProbe(
  replica: Replica,
  options: { median: number | undefined; now: number },
): EjectionChange | undefined {
  const slowness = replica.latency.slowness;
  if (slowness === undefined) return undefined;
  const { median } = options;
  if (median !== undefined && slowness > RETURN_RATIO * median) {
    noteProbeFailed(replica, options.now);
    return undefined;
  }
  replica.ejected = false;
  replica.probing = false;
  replica.latency.clear();
  return { replica, change: "returned", why: "probe_met_median" };
}

function updateInService(
  replica: Replica,
  options: {
    replicas: readonly Replica[];
    median: number | undefined;
    now: number;
  },
): EjectionChange | undefined {
  const why = findEjectionCause(replica, options.median);
  if (why === undefined) return undefined;
  const inService = options.replicas.filter((other) => !other.ejected).length;
  const share = why === "silent" ? 0 : MIN_IN_SERVICE_SHARE;
  const minInService = Math.max(1, Math.ceil(share * options.replicas.length));
  if (inService <= minInService) return undefined;
  replica.ejected = true;
  replica.ejections++;
  replica.latency.clear();
  replica.probeAt = options.now + computeProbeDelay(replica.ejections);
  return { replica, change: "ejected", why };
}

function findEjectionCause(
  replica: Replica,
  median: number | undefined,
): EjectionCause | undefined {
  const isFailing = replica.latency.failures >= MAX_CONSECUTIVE_FAILURES;
  const isSilent = replica.missedPolls >= MAX_MISSED_POLLS;
  // Failures and missing reports together justify going below the minimum in
  // service; either alone may be caused by the requests or by the network.
  if (isSilent && replica.latency.failures > 0) return "silent";
  if (isFailing) return "failures";
  const slowness = replica.latency.slowness;
  if (slowness === undefined || median === undefined) return undefined;
  return slowness > STRAGGLER_RATIO * median ? "straggler" : undefined;
}

function computeMedianSlowness(
  replicas: readonly Replica[],
): { slowness: number; compared: number } | undefined {
  const known: number[] = [];
  for (const replica of replicas) {
    const slowness = replica.latency.slowness;
    if (!replica.ejected && slowness !== undefined) known.push(slowness);
  }
  if (known.length === 0) return undefined;
  known.sort((left, right) => left - right);
  const slowness = known[Math.floor((known.length - 1) / 2)]!;
  return { slowness, compared: known.length };
}

function computeProbeDelay(ejections: number): number {
  const doublings = Math.max(0, ejections - 1);
  return Math.min(MAX_PROBE_MS, FIRST_PROBE_MS * 2 ** doublings);
}
