/**
 * Flow-control signals that upstreams send in the headers of their answers.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";

const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1_000;
/** Upper limit on the back-off that an upstream can request. */
const MAX_BACK_OFF_MS = 300_000;

/** The signals in one answer's head. */
export interface UpstreamSignals {
  /**
   * Limit on requests per second from all VMs together; infinite if the
   * upstream sets no limit, undefined if the answer does not say.
   */
  requestsPerS: number | undefined;
  /** Whether the upstream is shutting down and will accept no more work. */
  isLeaving: boolean;
  /**
   * Time during which the upstream, which refused the request, wants no more
   * requests from this VM, in milliseconds; 0 if it requests no back-off.
   */
  backOffMs: number;
  /** Whether the upstream had no room for the request. */
  isRejected: boolean;
  /**
   * Rejections in a second above which the upstream falls over; undefined if it
   * does not say so.
   */
  maxRejectionsPerS: number | undefined;
  /** Headers whose values are malformed or out of range. */
  unreadable: readonly UnreadableHeader[];
}

/** A header with an invalid value. */
export interface UnreadableHeader {
  name: string;
  value: string;
}

/** The names of the headers that carry the signals, in lower case. */
export interface SignalHeaders {
  /** Requests per second, as a decimal number. */
  rateLimit: string;
  /** `1` in all answers of an upstream that is shutting down. */
  leaving: string;
  /** Seconds, in refusals for lack of capacity. */
  retryAfter: string;
  /** Rejections in a second, as a decimal number. */
  brittle: string;
}

/** The headers of engines and plain services. */
const PRODUCT_HEADERS: SignalHeaders = {
  rateLimit: "x-max-requests-per-second",
  leaving: "x-leaving",
  retryAfter: "retry-after",
  brittle: "x-max-rejections-per-second",
};

interface AnswerHead {
  status: number;
  headers: Readonly<Record<string, string>>;
  /** Whether the upstream ran the request. */
  hasRun: boolean;
}

/** Reads the signals of an engine or a plain service. */
export function readUpstreamSignals(
  { status, headers }: Pick<UpstreamAnswer, "status" | "headers">,
): UpstreamSignals {
  const hasRun = status !== SERVICE_UNAVAILABLE;
  return readSignals({ status, headers, hasRun }, PRODUCT_HEADERS);
}

/** Reads the signals of an answer from the headers in `names`. */
export function readSignals(
  answer: AnswerHead,
  names: SignalHeaders,
): UpstreamSignals {
  const unreadable: UnreadableHeader[] = [];
  const read = <T>(
    name: string,
    parse: (text: string) => T | undefined,
  ): T | undefined => {
    const text = answer.headers[name];
    const value = text === undefined ? undefined : parse(text);
    if (text !== undefined && value === undefined) {
      unreadable.push({ name, value: text });
    }
    return value;
  };
  const rateLimit = read(names.rateLimit, parseDecimal);
  const isLeaving = read(names.leaving, parseFlag) ?? false;
  const isRefusal = answer.status === SERVICE_UNAVAILABLE ||
    answer.status === TOO_MANY_REQUESTS;
  const requestedMs = isRefusal ? read(names.retryAfter, parseBackOff) ?? 0 : 0;
  if (requestedMs > MAX_BACK_OFF_MS) {
    const name = names.retryAfter;
    unreadable.push({ name, value: answer.headers[name]! });
  }
  // Upstreams refuse requests before they add other headers: a missing limit
  // means "no limit" only in an answer to a request that ran.
  const isUnlimited = answer.hasRun &&
    answer.headers[names.rateLimit] === undefined;
  return {
    requestsPerS: isUnlimited ? Infinity : rateLimit,
    isLeaving,
    backOffMs: Math.min(requestedMs, MAX_BACK_OFF_MS),
    isRejected: isRefusal && !answer.hasRun,
    maxRejectionsPerS: read(names.brittle, parseDecimal),
    unreadable,
  };
}

/** A decimal number without a sign; undefined for any other text. */
function parseDecimal(text: string): number | undefined {
  if (!/^\s*\d+(\.\d+)?\s*$/.test(text)) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}

/** `1` or `0`; undefined for any other text. */
function parseFlag(text: string): boolean | undefined {
  return text.trim() === "1" ? true : text.trim() === "0" ? false : undefined;
}

/** Seconds as milliseconds; undefined for any text but a decimal number. */
function parseBackOff(text: string): number | undefined {
  const seconds = parseDecimal(text);
  return seconds === undefined ? undefined : seconds * MS_PER_SECOND;
}
