/**
 * Rate limits that replicas of a soak announce, and the requests they received.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";
import { listArrivals } from "./soak_leaving.ts";

const HEADER = "server-limit";
/** Time for all VMs to apply an announced limit. */
const KNOWN_WITHIN_MS = 3_000;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Requests allowed in a window: 1.5 times the limit, plus five. */
const EXCESS_RATIO = 1.5;
const EXCESS_SLACK = 5;

/** A rate limit of a replica; times by `performance.now()`. */
export interface AnnouncedLimit {
  replica: string;
  requestsPerS: number;
  from: number;
  to: number;
  /** All requests that reached the replica. */
  arrivals: readonly { requestId: string; at: number }[];
}

/** Records the rate limits that replicas announce. */
export class SoakLimits {
  readonly #announced: { standIn: ReplicaStandIn; limit: AnnouncedLimit }[] =
    [];

  static create(): SoakLimits {
    return new SoakLimits();
  }

  /** Announces a limit unless the replica has one; returns what ends it. */
  start(standIn: ReplicaStandIn, requestsPerS: number): () => void {
    if (standIn.extraHeaders[HEADER] !== undefined) return () => {};
    standIn.extraHeaders = {
      ...standIn.extraHeaders,
      [HEADER]: String(requestsPerS),
    };
    const limit: AnnouncedLimit = {
      replica: standIn.id,
      requestsPerS,
      from: performance.now(),
      to: Infinity,
      arrivals: [],
    };
    this.#announced.push({ standIn, limit });
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      limit.to = performance.now();
    };
  }

  /** Lists every limit with the requests that reached its replica. */
  list(): AnnouncedLimit[] {
    return this.#announced.map(({ standIn, limit }) => ({
      ...limit,
      arrivals: listArrivals(standIn),
    }));
  }
}

/** Finds a window in which a replica got more requests than allowed. */
export function findExcess(
  limit: AnnouncedLimit,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const { requestsPerS, from, to, replica } = limit;
  const maxRequests = EXCESS_RATIO * requestsPerS * WINDOW_MS / MS_PER_SECOND +
    EXCESS_SLACK;
  const counted = limit.arrivals.flatMap(({ requestId, at }) => {
    const request = options.requests.get(requestId);
    const isCounted = at >= from + KNOWN_WITHIN_MS && at <= to &&
      request?.isDisturbed === false;
    return isCounted ? [{ request, at }] : [];
  });
  for (const [index, { request, at }] of counted.entries()) {
    const later = counted.slice(index)
      .filter((each) => each.at < at + WINDOW_MS);
    if (later.length <= maxRequests) continue;
    if (options.isMachineBusy(from, at + WINDOW_MS)) continue;
    const what = `${replica} allows ${requestsPerS} requests/s and got ` +
      `${later.length} in ${WINDOW_MS} ms`;
    return { request, what };
  }
  return undefined;
}
