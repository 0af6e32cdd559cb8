/**
 * Which replicas get no new work because they fail or lag behind the others.
 *
 * @module
 */
import type { Replica } from "./replica.ts";

/** Times the median slowness that makes a replica a straggler. */
const STRAGGLER_RATIO = 2.5;
/** Times the median slowness below which a probed replica returns. */
const RETURN_RATIO = 1.5;
/** Failures one after the other that eject a replica. */
const MAX_FAILURES = 2;
/** The share of replicas that always stays in service. */
const FLOOR_SHARE = 0.5;
/** Load polls without an answer, one after the other, that prove silence. */
const MAX_MISSED_POLLS = 2;
const FIRST_PROBE_MS = 3_000;
const MAX_PROBE_MS = 60_000;
/** Replicas that a median needs to mean anything. */
const MIN_COMPARED = 3;

/** Why a replica leaves service. */
type EjectionCause = "silent" | "failures" | "straggler";

/** A change to log. */
export interface EjectionChange {
  replica: Replica;
  change: "ejected" | "returned";
  why: EjectionCause | "probe_met_median";
}

/**
 * Compares the replicas and ejects or returns them.
 *
 * A replica that fails at once looks idle and draws all work to it, and one
 * that lags holds its requests past their targets; both show as one replica's
 * latency or failures far from the others'. Ejecting without a floor would
 * turn a slow spell of everything into no service at all.
 */
export function updateEjections(
  replicas: readonly Replica[],
  now: number,
): EjectionChange[] {
  const changes: EjectionChange[] = [];
  const median = computeMedianSlowness(replicas);
  const known = median?.compared ?? 0;
  const toEject = known >= MIN_COMPARED ? median?.slowness : undefined;
  for (const replica of replicas) {
    const change = replica.ejected
      ? settleProbe(replica, { median: median?.slowness, now })
      : updateInService(replica, { replicas, median: toEject, now });
    if (change !== undefined) changes.push(change);
  }
  return changes;
}

/** Whether an ejected replica may be given one request as a probe. */
export function canProbe(replica: Replica, now: number): boolean {
  return replica.ejected && !replica.probing && now >= replica.probeAt;
}

/** Notes that a probe failed: the next one comes later than the last. */
export function noteProbeFailed(replica: Replica, now: number): void {
  replica.probing = false;
  replica.ejections++;
  replica.latency.clear();
  replica.probeAt = now + computeProbeDelay(replica.ejections);
}

/** Notes that a probe came to its end; the next may follow at once. */
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
  const share = why === "silent" ? 0 : FLOOR_SHARE;
  const floor = Math.max(1, Math.ceil(share * options.replicas.length));
  if (inService <= floor) return undefined;
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
  const isFailing = replica.latency.failures >= MAX_FAILURES;
  const isMissing = replica.missedPolls >= MAX_MISSED_POLLS;
  // Failing work and missing reports together are proof enough to go below
  // the floor; either alone may be the fault of the work or of the way there.
  if (isMissing && replica.latency.failures > 0) return "silent";
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
