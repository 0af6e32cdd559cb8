/**
 * What upstreams ask in their answers of all that send them work.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";

const SERVICE_UNAVAILABLE = 503;
const TOO_MANY_REQUESTS = 429;
const MS_PER_SECOND = 1_000;
/** An upstream that asks for more is left alone for so long. */
const MOST_BACK_OFF_MS = 300_000;

/** What one answer's head asks. */
export interface UpstreamSignals {
  /**
   * Requests a second that the upstream takes from all VMs together, infinite
   * where it names no limit; undefined where the answer does not tell.
   */
  requestsPerS: number | undefined;
  /** Whether the upstream is about to end and takes no new work, for good. */
  isLeaving: boolean;
  /**
   * How long the upstream, which turned the request away, wants nothing more
   * from the VM that sent it, in milliseconds; 0 where it does not ask for it.
   */
  backOffMs: number;
  /** Headers whose values could not be read, or are beyond all bounds. */
  unreadable: readonly UnreadableHeader[];
}

/** A header whose value is not what it should be. */
export interface UnreadableHeader {
  name: string;
  value: string;
}

/** The names of the headers that upstreams ask with, in lower case. */
export interface SignalHeaders {
  /** A decimal number of requests a second. */
  rateLimit: string;
  /** `1` in all answers of an upstream that leaves. */
  leaving: string;
  /** Seconds, in refusals for want of room. */
  retryAfter: string;
}

/** Those of the product's own interface. */
const PRODUCT_HEADERS: SignalHeaders = {
  rateLimit: "x-max-requests-per-second",
  leaving: "x-leaving",
  retryAfter: "retry-after",
};

/** The head of an answer. */
interface SignalledAnswer {
  status: number;
  headers: Readonly<Record<string, string>>;
  /** Whether the upstream ran the request. */
  hasRun: boolean;
}

/** Reads what engines and plain services ask on the product's own interface. */
export function readUpstreamSignals(
  { status, headers }: Pick<UpstreamAnswer, "status" | "headers">,
): UpstreamSignals {
  const hasRun = status !== SERVICE_UNAVAILABLE;
  return readSignals({ status, headers, hasRun }, PRODUCT_HEADERS);
}

/** Reads what an answer asks in the headers that `names` has. */
export function readSignals(
  answer: SignalledAnswer,
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
  const askedMs = isRefusal ? read(names.retryAfter, parseBackOff) ?? 0 : 0;
  if (askedMs > MOST_BACK_OFF_MS) {
    const name = names.retryAfter;
    unreadable.push({ name, value: answer.headers[name]! });
  }
  // Upstreams turn requests away before they look at anything else: only an
  // answer to a request that ran tells by its silence that there is no limit.
  const isUnlimited = answer.hasRun &&
    answer.headers[names.rateLimit] === undefined;
  return {
    requestsPerS: isUnlimited ? Infinity : rateLimit,
    isLeaving,
    backOffMs: Math.min(askedMs, MOST_BACK_OFF_MS),
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
