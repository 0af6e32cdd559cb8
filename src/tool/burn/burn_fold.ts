/**
 * Merges samples taken at different times, and log lines, into one set of
 * figures relative to the newest of them.
 *
 * Samples of one incarnation are merged bucket by bucket (`mergeIncarnation`):
 * adding them up would count each bucket once per report, and using only the
 * newest one would lose the requests of replaced VMs. A request from a log line
 * is skipped if a sample of the same incarnation covers its time. The line has
 * the VM's clock and the sample that of the tool's machine, so if those differ,
 * requests at the edge of the sample may be counted twice or not at all.
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
  formatIncarnationKey,
  mergeIncarnation,
  mergeSpans,
  type MissingVm,
  type PastSpan,
} from "./burn_sources.ts";
import { buildLogSeries, type LogRequest } from "./burn_logs.ts";

const HOUR_MS = 3_600_000;

/** Merged figures of all sources, relative to `atMs`. */
export interface BurnFold {
  /** Wall-clock time of the newest sample or log line. */
  atMs: number;
  /** All figures merged. */
  series: BurnSeries;
  /** One for each incarnation, with its own spans and series. */
  sources: BurnSource[];
  /** Covered time spans of each VM, relative to `atMs`. */
  spansByVm: ReadonlyMap<string, readonly PastSpan[]>;
  missing: MissingVm[];
  objectives: ClassObjective[];
  /** Number of requests counted from log lines. */
  logRequests: number;
  /** Number of requests in log lines that a sample already covers. */
  coveredLogRequests: number;
  /** Number of samples. */
  samples: number;
}

/** Merges samples and requests from logs; requires at least one of either. */
export function mergeSamples(
  samples: readonly BurnSample[],
  logged: readonly LogRequest[] = [],
): BurnFold {
  const sources = mergeIncarnations(samples.flatMap(({ sources }) => sources));
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
    spansByVm: collectSpansByVm({ sources, uncovered, atMs }),
    missing: listMissing(samples),
    objectives: findNewest(samples)?.objectives ?? [],
    logRequests: uncovered.length,
    coveredLogRequests: distinct.length - uncovered.length,
    samples: samples.length,
  };
}

function mergeIncarnations(sources: readonly BurnSource[]): BurnSource[] {
  const byIncarnation = new Map<string, BurnSource[]>();
  for (const source of sources) {
    const key = formatIncarnationKey(source);
    byIncarnation.set(key, [...byIncarnation.get(key) ?? [], source]);
  }
  return [...byIncarnation.keys()].sort().map((key) =>
    mergeIncarnation(byIncarnation.get(key)!)
  );
}

/** Keeps one line per request, since two files may contain the same line. */
function dropRepeated(logged: readonly LogRequest[]): LogRequest[] {
  const byId = new Map<string, LogRequest>();
  for (const request of logged) {
    const known = byId.get(request.requestId);
    const isNewer = known === undefined || known.atMs < request.atMs ||
      (known.atMs === request.atMs && known.line < request.line);
    if (isNewer) byId.set(request.requestId, request);
  }
  // Ordered by time, so that the newest requests become the examples.
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

/** Shifts the source's figures to `atMs`, accurate to half a bucket. */
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
    // After an hour, no counted request is from the last hour any more.
    causes: shiftMs < HOUR_MS
      ? entry.causes
      : entry.causes.map((cause) => ({ ...cause, lastHour: 0 })),
  };
}

/**
 * Collects the covered time spans of each VM. The logs of an incarnation cover
 * the time from its first to its last line.
 */
function collectSpansByVm(
  { sources, uncovered, atMs }: {
    sources: readonly BurnSource[];
    uncovered: readonly LogRequest[];
    atMs: number;
  },
): Map<string, PastSpan[]> {
  const spansByIncarnation = new Map<
    string,
    { vm: string; spans: PastSpan[] }
  >();
  for (const source of sources) {
    const shiftMs = atMs - source.gatheredAtMs;
    const spans = source.spans.map((span) => applySpanShift(span, shiftMs));
    spansByIncarnation.set(
      JSON.stringify(["gathered", formatIncarnationKey(source)]),
      {
        vm: source.vm,
        spans,
      },
    );
  }
  for (const request of uncovered) {
    const key = JSON.stringify(["logged", formatIncarnationKey(request)]);
    const agoMs = atMs - request.atMs;
    const known = spansByIncarnation.get(key)?.spans[0];
    const span = {
      fromAgoMs: Math.max(known?.fromAgoMs ?? agoMs, agoMs),
      toAgoMs: Math.min(known?.toAgoMs ?? agoMs, agoMs),
    };
    spansByIncarnation.set(key, { vm: request.vm, spans: [span] });
  }
  const byVm = new Map<string, PastSpan[]>();
  for (const { vm, spans } of spansByIncarnation.values()) {
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
