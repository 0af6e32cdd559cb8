/**
 * Puts samples of many moments, and log lines, into one set of figures as
 * seen from the newest moment.
 *
 * Overlaps. Two samples of one incarnation are joined bucket by bucket
 * (`mergeLife`). A log line's request is left out where a sample of the same
 * incarnation covers its time; the line's time is the VM's clock and the
 * sample's is that of the tool's machine, so requests at the edge of the
 * span may be counted twice or not at all where those clocks differ. Summing
 * whole reports would count each bucket once a report; taking only the newest
 * would lose what replaced VMs served.
 *
 * @module
 */
import {
  type BurnEntry,
  type BurnSeries,
  COARSE_BUCKET_MS,
  FINE_BUCKET_MS,
  FINE_BUCKETS,
  mergeSeries,
} from "../../process/burn_stats.ts";
import { compareStrings } from "../../version/record_problem.ts";
import {
  applyBucketShift,
  applySpanShift,
  type BurnSample,
  type BurnSource,
  type ClassObjective,
  formatLifeKey,
  mergeLife,
  mergeSpans,
  type MissingVm,
  type PastSpan,
} from "./burn_sources.ts";
import { buildLogSeries, type LogRequest } from "./burn_logs.ts";

const HOUR_MS = 3_600_000;

/** Figures of all sources, as seen from `atMs`. */
export interface BurnFold {
  /** Calendar time of the newest sample or log line. */
  atMs: number;
  /** All figures merged. */
  series: BurnSeries;
  /** One for each incarnation; spans and series are its own. */
  sources: BurnSource[];
  /** What is covered of each VM, before `atMs`. */
  spansByVm: ReadonlyMap<string, readonly PastSpan[]>;
  missing: MissingVm[];
  objectives: ClassObjective[];
  /** Requests taken from log lines. */
  logRequests: number;
  /** Requests of log lines that a sample had counted already. */
  coveredLogRequests: number;
  /** How many samples went in. */
  samples: number;
}

/** Folds samples and requests from logs. Needs at least one of either. */
export function mergeSamples(
  samples: readonly BurnSample[],
  logged: readonly LogRequest[] = [],
): BurnFold {
  const sources = mergeLives(samples.flatMap(({ sources }) => sources));
  const distinct = dropRepeated(logged);
  const uncovered = distinct.filter((request) => !isCovered(request, sources));
  const atMs = computeNewest([
    ...samples.map(({ gatheredAtMs }) => gatheredAtMs),
    ...distinct.map((request) => request.atMs),
  ]);
  const parts = sources.map((source) => applySeriesShift(source, atMs));
  if (uncovered.length > 0) parts.push(buildLogSeries(uncovered, atMs));
  return {
    atMs,
    series: mergeSeries(parts),
    sources,
    spansByVm: collectSpans({ sources, uncovered, atMs }),
    missing: listMissing(samples),
    objectives: findNewest(samples)?.objectives ?? [],
    logRequests: uncovered.length,
    coveredLogRequests: distinct.length - uncovered.length,
    samples: samples.length,
  };
}

function mergeLives(sources: readonly BurnSource[]): BurnSource[] {
  const lives = new Map<string, BurnSource[]>();
  for (const source of sources) {
    const key = formatLifeKey(source);
    lives.set(key, [...lives.get(key) ?? [], source]);
  }
  return [...lives.keys()].sort().map((key) => mergeLife(lives.get(key)!));
}

/** The same line may stand in two files. */
function dropRepeated(logged: readonly LogRequest[]): LogRequest[] {
  const byId = new Map<string, LogRequest>();
  for (const request of logged) {
    const known = byId.get(request.requestId);
    const isNewer = known === undefined || known.atMs < request.atMs ||
      (known.atMs === request.atMs && known.line < request.line);
    if (isNewer) byId.set(request.requestId, request);
  }
  // In the order of time, so that the newest stand as examples.
  return [...byId.values()].sort((left, right) =>
    left.atMs - right.atMs || compareStrings(left.requestId, right.requestId)
  );
}

function isCovered(
  request: LogRequest,
  sources: readonly BurnSource[],
): boolean {
  return sources.some((source) => {
    if (source.vm !== request.vm) return false;
    if (source.incarnation !== request.incarnation) return false;
    const agoMs = source.gatheredAtMs - request.atMs;
    return source.spans.some(({ fromAgoMs, toAgoMs }) =>
      agoMs <= fromAgoMs && agoMs >= toAgoMs
    );
  });
}

function computeNewest(times: readonly number[]): number {
  return times.reduce((newest, time) => Math.max(newest, time), 0);
}

function findNewest(
  samples: readonly BurnSample[],
): BurnSample | undefined {
  const toText = ({ objectives }: BurnSample) =>
    JSON.stringify(objectives.map((objective) => ({
      ...objective,
      workspaces: [...objective.workspaces],
    })));
  return samples.reduce<BurnSample | undefined>((newest, next) => {
    if (newest === undefined) return next;
    const byTime = next.gatheredAtMs - newest.gatheredAtMs;
    if (byTime !== 0) return byTime > 0 ? next : newest;
    return toText(next) > toText(newest) ? next : newest;
  }, undefined);
}

/** The source's figures as seen from `atMs`, to within half a bucket. */
function applySeriesShift(source: BurnSource, atMs: number): BurnSeries {
  const { series } = source;
  const shiftMs = atMs - source.gatheredAtMs;
  return {
    ...series,
    gatheredMs: series.gatheredMs + shiftMs,
    reachMs: series.reachMs + shiftMs,
    entries: series.entries.map((entry) => applyEntryShift(entry, shiftMs)),
  };
}

function applyEntryShift(entry: BurnEntry, shiftMs: number): BurnEntry {
  return {
    ...entry,
    fine: applyBucketShift(entry.fine, {
      slots: Math.round(shiftMs / FINE_BUCKET_MS),
      depth: FINE_BUCKETS,
    }),
    coarse: applyBucketShift(entry.coarse, {
      slots: Math.round(shiftMs / COARSE_BUCKET_MS),
    }),
    // What was the last hour then is the last hour no more.
    causes: shiftMs < HOUR_MS
      ? entry.causes
      : entry.causes.map((cause) => ({ ...cause, lastHour: 0 })),
  };
}

/** A VM's logs cover the time from their first line of an incarnation to its
 * last. */
function collectSpans(
  { sources, uncovered, atMs }: {
    sources: readonly BurnSource[];
    uncovered: readonly LogRequest[];
    atMs: number;
  },
): Map<string, PastSpan[]> {
  const byLife = new Map<string, { vm: string; spans: PastSpan[] }>();
  for (const source of sources) {
    const shiftMs = atMs - source.gatheredAtMs;
    const spans = source.spans.map((span) => applySpanShift(span, shiftMs));
    byLife.set(JSON.stringify(["gathered", formatLifeKey(source)]), {
      vm: source.vm,
      spans,
    });
  }
  for (const request of uncovered) {
    const key = JSON.stringify(["logged", formatLifeKey(request)]);
    const agoMs = atMs - request.atMs;
    const known = byLife.get(key)?.spans[0];
    const span = {
      fromAgoMs: Math.max(known?.fromAgoMs ?? agoMs, agoMs),
      toAgoMs: Math.min(known?.toAgoMs ?? agoMs, agoMs),
    };
    byLife.set(key, { vm: request.vm, spans: [span] });
  }
  const byVm = new Map<string, PastSpan[]>();
  for (const { vm, spans } of byLife.values()) {
    byVm.set(vm, mergeSpans([...byVm.get(vm) ?? [], ...spans]));
  }
  return byVm;
}

function listMissing(samples: readonly BurnSample[]): MissingVm[] {
  const distinct = new Map<string, MissingVm>();
  for (const missing of samples.flatMap(({ missing }) => missing)) {
    distinct.set(JSON.stringify(missing), missing);
  }
  return [...distinct.values()].sort((left, right) =>
    right.gatheredAtMs - left.gatheredAtMs ||
    compareStrings(left.vm, right.vm) ||
    compareStrings(left.why, right.why)
  );
}
