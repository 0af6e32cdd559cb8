/**
 * Replicas of a soak that refuse requests with a back-off time, and the
 * requests that they received during the back-off.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";
import { listArrivals } from "./soak_leaving.ts";

const HEADER = "retry-after";
/** Requests in flight may still arrive this long after a refusal. */
const IN_FLIGHT_MS = 500;
/** Requests that a VM may still send a replica during its back-off. */
const MAX_REPEATS = 2;
const MS_PER_SECOND = 1_000;

/** A replica that requested a back-off; times by `performance.now()`. */
export interface RequestedBackOff {
  replica: string;
  /** The requests that it refused with a back-off time. */
  refusals: readonly { requestId: string; at: number; forMs: number }[];
  arrivals: readonly { requestId: string; at: number }[];
}

/** Records the back-offs that replicas request. */
export class SoakBackOffs {
  readonly #replicas = new Set<ReplicaStandIn>();

  static create(): SoakBackOffs {
    return new SoakBackOffs();
  }

  /** Makes a replica refuse all requests; returns what ends it. */
  start(standIn: ReplicaStandIn, forS: number): () => void {
    this.#replicas.add(standIn);
    standIn.mode = "shed";
    standIn.extraHeaders = { ...standIn.extraHeaders, [HEADER]: String(forS) };
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      standIn.mode = "answer";
    };
  }

  /** Lists every replica that requested a back-off. */
  list(): RequestedBackOff[] {
    return [...this.#replicas].map((standIn) => ({
      replica: standIn.id,
      refusals: standIn.refusals
        .filter(({ headers }) => headers[HEADER] !== undefined)
        .map(({ call, at, headers }) => ({
          requestId: call.headers["x-request-id"] ?? "",
          at,
          forMs: Number(headers[HEADER]) * MS_PER_SECOND,
        })),
      arrivals: listArrivals(standIn),
    }));
  }
}

/** Finds a VM's requests beyond those allowed during a back-off. */
export function findRepeat(
  { replica, refusals, arrivals }: RequestedBackOff,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    /** Refusals that reached a VM, by `REQUEST REPLICA`. */
    receivedRefusals: ReadonlySet<string>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const { requests, receivedRefusals, isMachineBusy } = options;
  for (const { requestId, at: refusedAt, forMs } of refusals) {
    // A cut may have swallowed it.
    if (!receivedRefusals.has(`${requestId} ${replica}`)) continue;
    const vm = requests.get(requestId)?.vm;
    const repeats = arrivals.flatMap(({ requestId: id, at }) => {
      const request = requests.get(id);
      const isRepeat = request !== undefined && request.vm === vm &&
        !request.isDisturbed && at > refusedAt + IN_FLIGHT_MS &&
        at < refusedAt + forMs;
      return isRepeat ? [request] : [];
    });
    if (repeats.length <= MAX_REPEATS) continue;
    if (isMachineBusy(refusedAt, refusedAt + forMs)) continue;
    const what =
      `one of ${repeats.length} at ${replica} within the ${forMs} ms ` +
      `of its back-off`;
    return { request: repeats[0]!, what };
  }
  return undefined;
}
