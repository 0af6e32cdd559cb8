/**
 * Reads finished requests from log lines of the daemon, for times that no saved
 * report covers.
 *
 * @module
 */
import {
  buildBuckets,
  type BurnCause,
  type BurnCounts,
  type BurnEntry,
  type BurnResult,
  type BurnSeries,
  COARSE_BUCKET_MS,
  compareCauses,
  createCounts,
  createSeries,
  FINE_BUCKET_MS,
  FINE_BUCKETS,
  MAX_EXAMPLES,
  RESULTS,
} from "../../process/burn_stats.ts";
import { LatencyHistogram } from "../../process/latency_histogram.ts";
import { parseLogLine } from "../../process/log_line.ts";
import { parseRequestId } from "../../process/request_ids.ts";

const FINISHED_EVENT = "request_finished";
const HOUR_MS = 3_600_000;
/** Shown if a line does not contain the step at which the request ended. */
const UNKNOWN_STEP = "not logged";
/**
 * Client errors, which use no error budget; the same codes as in the daemon.
 */
const UNCOUNTED_CODES: ReadonlySet<string> = new Set([
  "bad_request",
  "unauthorized",
  "forbidden",
  "not_found",
  "payload_too_large",
]);

/** A finished request according to its log line. */
export interface LogRequest {
  requestId: string;
  /** The VM that ran it, from the line or the request id; else empty. */
  vm: string;
  incarnation: string;
  /** Wall-clock time of its end by the VM's clock. */
  atMs: number;
  workspace: string;
  className: string;
  result: BurnResult;
  step: string;
  pool: string;
  upstream: string;
  totalMs: number;
  tokens: number;
  wastedTokens: number;
  /** The line itself; breaks ties between two lines of one request. */
  line: string;
}

/**
 * Parses a log line; undefined unless it reports a finished, counted request.
 */
export function parseFinishedLine(line: string): LogRequest | undefined {
  // Most lines are of other events and need no parsing.
  if (!line.includes(FINISHED_EVENT)) return undefined;
  const pairs = parseLogLine(line);
  if (pairs?.event !== FINISHED_EVENT) return undefined;
  const result = RESULTS.find((known) => known === pairs.result);
  const atMs = Date.parse(pairs.time!);
  const { request_id: requestId, workspace, class: className } = pairs;
  if (result === undefined || Number.isNaN(atMs)) return undefined;
  if (!requestId || !workspace || !className) return undefined;
  if (UNCOUNTED_CODES.has(pairs.code ?? "")) return undefined;
  const issuer = parseRequestId(requestId);
  return {
    requestId,
    vm: pairs.vm ?? issuer?.vm ?? "",
    incarnation: pairs.incarnation ?? issuer?.incarnation ?? "",
    atMs,
    workspace,
    className,
    result,
    step: pairs.step ?? UNKNOWN_STEP,
    pool: pairs.pool ?? "",
    upstream: pairs.upstream ?? "",
    totalMs: toCount(pairs.total_ms),
    tokens: toCount(pairs.tokens),
    wastedTokens: toCount(pairs.wasted_tokens),
    line,
  };
}

/** Builds the figures of the requests relative to `atMs`. */
export function buildLogSeries(
  requests: readonly LogRequest[],
  atMs: number,
): BurnSeries {
  const builders = new Map<string, EntryBuilder>();
  for (const request of requests) {
    const key = JSON.stringify([request.workspace, request.className]);
    const builder = builders.get(key) ?? new EntryBuilder(request, atMs);
    builders.set(key, builder);
    builder.add(request);
  }
  const reachMs = requests.reduce(
    (reach, request) => Math.max(reach, atMs - request.atMs),
    0,
  );
  return {
    ...createSeries(),
    gatheredMs: reachMs,
    reachMs,
    entries: [...builders.keys()].sort().map((key) =>
      builders.get(key)!.build()
    ),
  };
}

/** Accumulates the requests of one class of one workspace. */
class EntryBuilder {
  readonly #names: { workspace: string; className: string };
  readonly #atMs: number;
  readonly #fine = new Map<number, BurnCounts>();
  readonly #coarse = new Map<number, BurnCounts>();
  readonly #causes = new Map<string, BurnCause>();
  readonly #total = LatencyHistogram.create();
  #tokens = 0;
  #wastedTokens = 0;

  constructor(request: LogRequest, atMs: number) {
    const { workspace, className } = request;
    this.#names = { workspace, className };
    this.#atMs = atMs;
  }

  add(request: LogRequest): void {
    const agoMs = Math.max(0, this.#atMs - request.atMs);
    this.#tokens += request.tokens;
    this.#wastedTokens += request.wastedTokens;
    addCount(this.#coarse, Math.floor(agoMs / COARSE_BUCKET_MS), request);
    const fineAgo = Math.floor(agoMs / FINE_BUCKET_MS);
    if (fineAgo < FINE_BUCKETS) addCount(this.#fine, fineAgo, request);
    const isAnswered = request.result === "met" || request.result === "late";
    if (isAnswered && agoMs < HOUR_MS) this.#total.record(request.totalMs);
    this.#addCause(request, agoMs);
  }

  build(): BurnEntry {
    return {
      ...this.#names,
      fine: buildBuckets(FINE_BUCKET_MS, this.#fine),
      coarse: buildBuckets(COARSE_BUCKET_MS, this.#coarse),
      causes: [...this.#causes.values()].sort(compareCauses),
      // Log lines do not contain the time to first token.
      firstToken: LatencyHistogram.create().encode(),
      total: this.#total.encode(),
      tokens: this.#tokens,
      wastedTokens: this.#wastedTokens,
    };
  }

  #addCause(request: LogRequest, agoMs: number): void {
    const { result, step, pool, upstream } = request;
    if (result === "met" || result === "cancelled") return;
    const key = JSON.stringify([result, step, pool, upstream]);
    const cause = this.#causes.get(key) ??
      { result, step, pool, upstream, lastHour: 0, total: 0, examples: [] };
    this.#causes.set(key, cause);
    cause.total++;
    if (agoMs < HOUR_MS) cause.lastHour++;
    cause.examples = [request.requestId, ...cause.examples]
      .slice(0, MAX_EXAMPLES);
  }
}

function addCount(
  byAgo: Map<number, BurnCounts>,
  ago: number,
  request: LogRequest,
): void {
  const counts = byAgo.get(ago) ?? createCounts();
  counts[request.result]++;
  byAgo.set(ago, counts);
}

function toCount(text: string | undefined): number {
  const value = Number(text);
  return Number.isSafeInteger(value) && value > 0 ? value : 0;
}
