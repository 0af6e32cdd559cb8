/**
 * Replicas of a soak that say in their answers that they leave, and what they
 * got afterwards.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";

const HEADER = "server-leaving";
/** What a replica may still get after the first answer that says so. */
const DRAIN_MS = 2_000;

/** One leaving; times by `performance.now()`. */
export interface SaidLeaving {
  replica: string;
  from: number;
  /** When the replica came off the list. */
  to: number;
  arrivals: readonly { requestId: string; at: number }[];
}

/** Leavings as they are said. */
export class SoakLeaving {
  readonly #said: { standIn: ReplicaStandIn; leaving: SaidLeaving }[] = [];

  static create(): SoakLeaving {
    return new SoakLeaving();
  }

  /** Lets a replica say it in all answers from now on. Gives what ends it. */
  start(standIn: ReplicaStandIn): () => void {
    standIn.extraHeaders = { ...standIn.extraHeaders, [HEADER]: "1" };
    const leaving: SaidLeaving = {
      replica: standIn.id,
      from: performance.now(),
      to: Infinity,
      arrivals: [],
    };
    this.#said.push({ standIn, leaving });
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      leaving.to = performance.now();
    };
  }

  /** Every leaving, with what its replica got. */
  list(): SaidLeaving[] {
    return this.#said.map(({ standIn, leaving }) => ({
      ...leaving,
      arrivals: listArrivals(standIn),
    }));
  }
}

/** What reached a replica, ever. */
export function listArrivals(
  { seen, seenAt }: ReplicaStandIn,
): { requestId: string; at: number }[] {
  return seen.map(({ headers }, index) => ({
    requestId: headers["x-request-id"] ?? "",
    at: seenAt[index]!,
  }));
}

/** A request that reached a leaving replica too late; undefined for none. */
export function findLateArrival(
  { replica, from, to, arrivals }: SaidLeaving,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const toldAt = Math.min(
    ...[...options.requests.values()]
      .filter((each) => isToldBy(each, replica) && each.sentAt >= from)
      .map(({ endedAt }) => endedAt),
  );
  for (const { requestId, at } of arrivals) {
    const request = options.requests.get(requestId);
    if (request === undefined || request.isDisturbed || at > to) continue;
    if (request.sentAt <= toldAt + DRAIN_MS) continue;
    if (options.isMachineBusy(toldAt, at)) continue;
    const ms = Math.round(request.sentAt - toldAt);
    return { request, what: `sent to ${replica} ${ms} ms after its leaving` };
  }
  return undefined;
}

function isToldBy({ headers, body }: SoakRequest, replica: string): boolean {
  return headers[HEADER] === "1" && body.includes(replica);
}
