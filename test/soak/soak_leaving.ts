/**
 * Replicas of a soak that announce in their answers that they leave, and the
 * requests that they received afterwards.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";

const HEADER = "server-leaving";
/** A replica may still get requests this long after its first notice. */
const DRAIN_MS = 2_000;

/** A replica's notice that it leaves; times by `performance.now()`. */
export interface LeavingNotice {
  replica: string;
  from: number;
  /** When the replica was removed from the list. */
  to: number;
  arrivals: readonly { requestId: string; at: number }[];
}

/** Records the notices of leaving replicas. */
export class SoakLeaving {
  readonly #notices: { standIn: ReplicaStandIn; notice: LeavingNotice }[] = [];

  static create(): SoakLeaving {
    return new SoakLeaving();
  }

  /** Adds the notice to a replica's answers; returns what ends it. */
  start(standIn: ReplicaStandIn): () => void {
    standIn.extraHeaders = { ...standIn.extraHeaders, [HEADER]: "1" };
    const notice: LeavingNotice = {
      replica: standIn.id,
      from: performance.now(),
      to: Infinity,
      arrivals: [],
    };
    this.#notices.push({ standIn, notice });
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      notice.to = performance.now();
    };
  }

  /** Lists every notice with the requests that reached its replica. */
  list(): LeavingNotice[] {
    return this.#notices.map(({ standIn, notice }) => ({
      ...notice,
      arrivals: listArrivals(standIn),
    }));
  }
}

/** Lists all requests that reached a replica. */
export function listArrivals(
  { seen, seenAt }: ReplicaStandIn,
): { requestId: string; at: number }[] {
  return seen.map(({ headers }, index) => ({
    requestId: headers["x-request-id"] ?? "",
    at: seenAt[index]!,
  }));
}

/** Finds a request that was sent to a leaving replica too late. */
export function findLateArrival(
  { replica, from, to, arrivals }: LeavingNotice,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const noticedAt = Math.min(
    ...[...options.requests.values()]
      .filter((each) => hasNoticeFrom(each, replica) && each.sentAt >= from)
      .map(({ endedAt }) => endedAt),
  );
  for (const { requestId, at } of arrivals) {
    const request = options.requests.get(requestId);
    if (request === undefined || request.isDisturbed || at > to) continue;
    if (request.sentAt <= noticedAt + DRAIN_MS) continue;
    if (options.isMachineBusy(noticedAt, at)) continue;
    const ms = Math.round(request.sentAt - noticedAt);
    return {
      request,
      what: `sent to ${replica} ${ms} ms after its leaving notice`,
    };
  }
  return undefined;
}

function hasNoticeFrom(
  { headers, body }: SoakRequest,
  replica: string,
): boolean {
  return headers[HEADER] === "1" && body.includes(replica);
}
