/**
 * Rate limits that replicas of a soak name, and what they got under them.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";
import { listArrivals } from "./soak_leaving.ts";

const HEADER = "server-limit";
/** All VMs know a limit so long after it was named, in milliseconds. */
const KNOWN_WITHIN_MS = 3_000;
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** What a replica may get in a window: half as much again, and five. */
const EXCESS_RATIO = 1.5;
const EXCESS_SLACK = 5;

/** One limit; times by `performance.now()`. */
export interface NamedLimit {
  replica: string;
  requestsPerS: number;
  from: number;
  to: number;
  /** What reached the replica, ever. */
  arrivals: readonly { requestId: string; at: number }[];
}

/** Limits as they are named and taken back. */
export class SoakLimits {
  readonly #named: { standIn: ReplicaStandIn; limit: NamedLimit }[] = [];

  static create(): SoakLimits {
    return new SoakLimits();
  }

  /** Lets a replica name a limit, unless it does. Gives what ends it. */
  start(standIn: ReplicaStandIn, requestsPerS: number): () => void {
    if (standIn.extraHeaders[HEADER] !== undefined) return () => {};
    standIn.extraHeaders = {
      ...standIn.extraHeaders,
      [HEADER]: String(requestsPerS),
    };
    const limit: NamedLimit = {
      replica: standIn.id,
      requestsPerS,
      from: performance.now(),
      to: Infinity,
      arrivals: [],
    };
    this.#named.push({ standIn, limit });
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      limit.to = performance.now();
    };
  }

  /** Every limit, with what its replica got. */
  list(): NamedLimit[] {
    return this.#named.map(({ standIn, limit }) => ({
      ...limit,
      arrivals: listArrivals(standIn),
    }));
  }
}

/** What a replica got in one window beyond its limit; undefined for none. */
export function findExcess(
  limit: NamedLimit,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const { requestsPerS, from, to, replica } = limit;
  const most = EXCESS_RATIO * requestsPerS * WINDOW_MS / MS_PER_SECOND +
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
    if (later.length <= most) continue;
    if (options.isMachineBusy(from, at + WINDOW_MS)) continue;
    const what = `${replica} takes ${requestsPerS} a second and got ` +
      `${later.length} in ${WINDOW_MS} ms`;
    return { request, what };
  }
  return undefined;
}
