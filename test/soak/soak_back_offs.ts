/**
 * Replicas of a soak that turn requests away and ask for a time without any,
 * and what they got in that time.
 *
 * @module
 */
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";
import type { SoakRequest } from "./soak_callers.ts";
import { listArrivals } from "./soak_leaving.ts";

const HEADER = "retry-after";
/** Requests in hand may still arrive so long after a refusal. */
const IN_HAND_MS = 500;
/** What a VM may still send a replica that asked it to back off. */
const MOST_REPEATS = 2;
const MS_PER_SECOND = 1_000;

/** A replica that asked for a time; times by `performance.now()`. */
export interface AskedBackOff {
  replica: string;
  /** The requests that it turned away with such a time. */
  refusals: readonly { requestId: string; at: number; forMs: number }[];
  arrivals: readonly { requestId: string; at: number }[];
}

/** Back-offs as they are asked for. */
export class SoakBackOffs {
  readonly #asking = new Set<ReplicaStandIn>();

  static create(): SoakBackOffs {
    return new SoakBackOffs();
  }

  /** Lets a replica turn all requests away. Gives what ends it. */
  start(standIn: ReplicaStandIn, forS: number): () => void {
    this.#asking.add(standIn);
    standIn.mode = "shed";
    standIn.extraHeaders = { ...standIn.extraHeaders, [HEADER]: String(forS) };
    return () => {
      const { [HEADER]: _ended, ...others } = standIn.extraHeaders;
      standIn.extraHeaders = others;
      standIn.mode = "answer";
    };
  }

  /** Every replica that asked for a time. */
  list(): AskedBackOff[] {
    return [...this.#asking].map((standIn) => ({
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

/** A request too many of one VM in the time asked for; undefined for none. */
export function findRepeat(
  { replica, refusals, arrivals }: AskedBackOff,
  options: {
    requests: ReadonlyMap<string, SoakRequest>;
    isMachineBusy: (from: number, to: number) => boolean;
  },
): { request: SoakRequest; what: string } | undefined {
  const { requests, isMachineBusy } = options;
  for (const { requestId, at: refusedAt, forMs } of refusals) {
    const vm = requests.get(requestId)?.vm;
    const repeats = arrivals.flatMap(({ requestId: id, at }) => {
      const request = requests.get(id);
      const isRepeat = request !== undefined && request.vm === vm &&
        !request.isDisturbed && at > refusedAt + IN_HAND_MS &&
        at < refusedAt + forMs;
      return isRepeat ? [request] : [];
    });
    if (repeats.length <= MOST_REPEATS) continue;
    if (isMachineBusy(refusedAt, refusedAt + forMs)) continue;
    const what = `one of ${repeats.length} at ${replica} within ${forMs} ms ` +
      `that it wanted none`;
    return { request: repeats[0]!, what };
  }
  return undefined;
}
