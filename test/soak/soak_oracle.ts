/**
 * The promises that a soak checks, by what callers and replicas saw.
 *
 * @module
 */
import { CALL_TIMEOUT_MS, type SoakRequest } from "./soak_callers.ts";
import type { RevokedKey } from "./soak_fleet.ts";
import { type AskedBackOff, findRepeat } from "./soak_back_offs.ts";
import { findLateArrival, type SaidLeaving } from "./soak_leaving.ts";
import { findExcess, type NamedLimit } from "./soak_limits.ts";

/** Statuses that say that the work has not run and never will. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];
/** What a caller with a right key and a known route is never told. */
const DENYING_STATUSES = [400, 401, 403, 404];
const EVENTS = 6;
/** A change of keys is in force after so long, in milliseconds. */
const IN_FORCE_WITHIN_MS = 3_000;
/** Beyond the caller's own time, in milliseconds; other work may run here. */
const LATE_MS = 3_000;

/** A request that ended so many replicas is known to all VMs in time. */
const KNOWN_AFTER_RUNS = 3;
const KNOWN_WITHIN_MS = 3_000;
const ALLOWED_LATE_RUNS = 3;

/** One promise that was broken. */
export interface BrokenPromise {
  promise:
    | "runs at most once"
    | "a refusal is true"
    | "an answer is its request's own"
    | "an answer is whole or visibly broken"
    | "nobody is denied"
    | "a key that was taken away is refused"
    | "an end comes in time"
    | "what crashes replicas is kept from them"
    | "a replica gets no more than it takes"
    | "a replica that leaves gets nothing new"
    | "a VM backs off where a replica asks for it";
  detail: string;
}

/** What the checks go by. */
export interface SoakRecord {
  requests: readonly SoakRequest[];
  /** Runs by request id. */
  runs: ReadonlyMap<string, number>;
  revoked: readonly RevokedKey[];
  /** When keys that change were published first. */
  published: ReadonlyMap<string, number>;
  /** Limits on requests a second that replicas named. */
  limits: readonly NamedLimit[];
  /** Replicas that said that they leave. */
  leaving: readonly SaidLeaving[];
  /** Replicas that asked VMs to back off. */
  backOffs: readonly AskedBackOff[];
  /** Whether VMs may have been unable to read what was published. */
  isStoreDisturbed: (from: number, to: number) => boolean;
  /** Whether this machine kept processes waiting for a processor. */
  isMachineBusy: (from: number, to: number) => boolean;
}

/** Every promise that was broken, each with the request that shows it. */
export function listBroken(record: SoakRecord): BrokenPromise[] {
  const broken = record.requests.flatMap((request) => [
    ...checkRuns(request, record),
    ...checkAnswer(request),
    ...checkKey(request, record),
    ...checkTime(request, record),
  ]);
  return [...broken, ...checkPoison(record), ...checkSignals(record)];
}

/** What replicas got beside what they asked for in their answers. */
function checkSignals(record: SoakRecord): BrokenPromise[] {
  const requests = new Map(record.requests.map((each) => [each.id, each]));
  const options = { ...record, requests };
  return [
    ...record.limits.map((limit) => ({
      promise: "a replica gets no more than it takes" as const,
      found: findExcess(limit, options),
    })),
    ...record.leaving.map((leaving) => ({
      promise: "a replica that leaves gets nothing new" as const,
      found: findLateArrival(leaving, options),
    })),
    ...record.backOffs.map((backOff) => ({
      promise: "a VM backs off where a replica asks for it" as const,
      found: findRepeat(backOff, options),
    })),
  ].flatMap(({ promise, found }) =>
    found === undefined ? [] : [build(promise, found.request, found.what)]
  );
}

/** Runs of the poison request that began late enough to be avoided. */
function checkPoison({ requests, runs }: SoakRecord): BrokenPromise[] {
  const poison = requests.filter(({ isPoison }) => isPoison)
    .flatMap((each) =>
      Array.from({ length: runs.get(each.id) ?? 0 }, () => each)
    )
    .toSorted((left, right) => left.sentAt - right.sentAt);
  const knownAt = (poison[KNOWN_AFTER_RUNS - 1]?.endedAt ?? Infinity) +
    KNOWN_WITHIN_MS;
  const late = poison.filter(({ sentAt, isDisturbed }) =>
    sentAt > knownAt && !isDisturbed
  );
  if (late.length <= ALLOWED_LATE_RUNS) return [];
  const what = `ran ${late.length} times once it was known`;
  return [
    build("what crashes replicas is kept from them", late.at(-1)!, what),
  ];
}

function checkRuns(request: SoakRequest, record: SoakRecord): BrokenPromise[] {
  const runs = record.runs.get(request.id) ?? 0;
  const broken: BrokenPromise[] = [];
  if (runs > request.route.mostRuns) {
    broken.push(build("runs at most once", request, `ran ${runs} times`));
  }
  if (NOT_RUN_STATUSES.includes(request.status) && runs > 0) {
    broken.push(build("a refusal is true", request, `ran ${runs} times`));
  }
  return broken;
}

function checkAnswer(request: SoakRequest): BrokenPromise[] {
  const { headers, body, route, id } = request;
  if (request.status !== 200) return [];
  const broken: BrokenPromise[] = [];
  const own = headers["x-request-id"];
  if (own !== id || headers["x-response-seal"] === undefined) {
    const detail = `id ${own}, seal ${headers["x-response-seal"]}`;
    broken.push(build("an answer is its request's own", request, detail));
  }
  if (!request.isWhole) return broken;
  const isComplete = route.isStream ? isWholeStream(body) : isWholeCall(body);
  if (!isComplete) {
    const detail = JSON.stringify(body);
    broken.push(build("an answer is whole or visibly broken", request, detail));
  }
  return broken;
}

function checkKey(request: SoakRequest, record: SoakRecord): BrokenPromise[] {
  const { key, status } = request;
  const isDenied = DENYING_STATUSES.includes(status);
  const revoked = record.revoked.find((each) => each.key === key);
  if (revoked !== undefined) {
    if (status !== 200 || !isInForce(revoked.at, request, record)) return [];
    const ms = Math.round(request.sentAt - revoked.at);
    const detail = `accepted ${ms} ms after`;
    return [build("a key that was taken away is refused", request, detail)];
  }
  const publishedAt = record.published.get(key);
  const isKnown = publishedAt === undefined ||
    isInForce(publishedAt, request, record);
  if (!isDenied || !isKnown) return [];
  return [build("nobody is denied", request, `key ${key}`)];
}

/** Whether the request's VM must have what was published at `at`. */
function isInForce(
  at: number,
  request: SoakRequest,
  record: SoakRecord,
): boolean {
  const { sentAt, isDisturbed } = request;
  return sentAt > at + IN_FORCE_WITHIN_MS && !isDisturbed &&
    !record.isStoreDisturbed(at, sentAt) && !record.isMachineBusy(at, sentAt);
}

function checkTime(request: SoakRequest, record: SoakRecord): BrokenPromise[] {
  const { sentAt, endedAt } = request;
  const ms = Math.round(endedAt - sentAt);
  if (request.isDisturbed || ms <= CALL_TIMEOUT_MS + LATE_MS) return [];
  if (record.isMachineBusy(sentAt, endedAt)) return [];
  return [build("an end comes in time", request, `after ${ms} ms`)];
}

function isWholeCall(body: string): boolean {
  try {
    const value = JSON.parse(body) as { replica?: string };
    return value.replica !== undefined;
  } catch {
    return false;
  }
}

function isWholeStream(body: string): boolean {
  const events = body.split("\n\n").filter((event) => event !== "");
  return events.length === EVENTS &&
    events.every((event, index) =>
      event.startsWith(`id: ${index + 1}\ndata: i-`)
    );
}

function build(
  promise: BrokenPromise["promise"],
  request: SoakRequest,
  what: string,
): BrokenPromise {
  const { id, route, vm, status } = request;
  const detail = `${id} ${route.path} at ${vm}, status ${status}: ${what}`;
  return { promise, detail };
}
