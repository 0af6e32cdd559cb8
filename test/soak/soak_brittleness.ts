/**
 * Times in which replicas of a soak say that they are brittle.
 *
 * @module
 */
import { ReplicaCapacity } from "../platform/replica_capacity.ts";
import type { ReplicaStandIn } from "../platform/replica_stand_in.ts";

const MAX_REJECTIONS_PER_S = 8;
const SLOTS = 16;
const CALL_MS = 60;
const DOWN_MS = 2_000;
/** Falls that are allowed in one brittle time of one replica. */
const MAX_FALLS = 2;

/** Brittle times, one after the other. */
export class SoakBrittleness {
  readonly #times: { replica: string; capacity: ReplicaCapacity }[] = [];

  static create(): SoakBrittleness {
    return new SoakBrittleness();
  }

  /** Makes a replica brittle; returns what ends it. */
  start(replica: ReplicaStandIn): () => void {
    const capacity = ReplicaCapacity.create({
      slots: SLOTS,
      callMs: CALL_MS,
      maxWaiting: 2,
      maxRejectionsPerS: MAX_REJECTIONS_PER_S,
      downMs: DOWN_MS,
    });
    const headers = { "server-brittle": String(MAX_REJECTIONS_PER_S) };
    replica.capacity = capacity;
    replica.extraHeaders = { ...replica.extraHeaders, ...headers };
    this.#times.push({ replica: replica.id, capacity });
    return () => {
      if (replica.capacity !== capacity) return;
      replica.capacity = undefined;
      const { "server-brittle": _ended, ...others } = replica.extraHeaders;
      replica.extraHeaders = others;
    };
  }

  /** Describes the times with too many falls. */
  listFalls(): string[] {
    return this.#times.filter(({ capacity }) => capacity.falls > MAX_FALLS)
      .map(({ replica, capacity }) =>
        `${replica} fell ${capacity.falls} times`
      );
  }
}
