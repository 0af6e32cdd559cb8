/**
 * The platform's store, as far as an entry VM reads it.
 *
 * @module
 */
import type { PublishedConfiguration } from "../../version/published.ts";
import type { ReplicaList } from "../placement/replica_list.ts";

/** Everything that is published. */
export interface PublishedState {
  /** Counts all changes; also the replicas' revision. */
  revision: number;
  /** Undefined before the operator published the first. */
  configuration: PublishedConfiguration | undefined;
  replicas: ReplicaList;
}

/** What a watch says. */
export type StoreUpdate =
  | { kind: "state"; state: PublishedState }
  /** The history that the watch went on from is gone: read all again. */
  | { kind: "history_lost" };

/** Reads and watches what the platform publishes; nothing is written. */
export abstract class PublishedStore {
  /** Reads everything; rejects `StepError`. */
  abstract fetchState(): Promise<PublishedState>;
  /**
   * Waits at most `waitMs` for a change after what was read last, and gives
   * the state with it. Rejects `StepError`.
   */
  abstract watch(waitMs: number): Promise<StoreUpdate>;
}
