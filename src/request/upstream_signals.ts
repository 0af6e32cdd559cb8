/**
 * What upstreams ask in their answers of all that send them work.
 *
 * @module
 */

import type { UpstreamAnswer } from "../connection/upstream_transport.ts";

/** Requests a second that an upstream takes, on the product's own interface. */
const RATE_LIMIT = "x-max-requests-per-second";
const SERVICE_UNAVAILABLE = 503;

/** What one answer's head asks. */
export interface UpstreamSignals {
  /**
   * Requests a second that the upstream takes from all VMs together, infinite
   * where it names no limit; undefined where the answer does not tell.
   */
  requestsPerS: number | undefined;
  /** Headers whose values could not be read. */
  unreadable: readonly UnreadableHeader[];
}

/** A header whose value is not what it should be. */
export interface UnreadableHeader {
  name: string;
  value: string;
}

/** Reads what engines and plain services ask on the product's own interface. */
export function readUpstreamSignals(
  { status, headers }: Pick<UpstreamAnswer, "status" | "headers">,
): UpstreamSignals {
  const hasRun = status !== SERVICE_UNAVAILABLE;
  return readRateLimit(headers, { name: RATE_LIMIT, hasRun });
}

/**
 * Reads the header `name` as a limit on requests a second. Without it, only an
 * answer to a request that ran tells that there is none: upstreams turn
 * requests away before they look at anything else.
 */
export function readRateLimit(
  headers: Readonly<Record<string, string>>,
  options: { name: string; hasRun: boolean },
): UpstreamSignals {
  const { name, hasRun } = options;
  const text = headers[name];
  if (text === undefined) {
    return { requestsPerS: hasRun ? Infinity : undefined, unreadable: [] };
  }
  const requestsPerS = parseDecimal(text);
  const unreadable = requestsPerS === undefined ? [{ name, value: text }] : [];
  return { requestsPerS, unreadable };
}

/** A decimal number without a sign; undefined for any other text. */
function parseDecimal(text: string): number | undefined {
  if (!/^\s*\d+(\.\d+)?\s*$/.test(text)) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
