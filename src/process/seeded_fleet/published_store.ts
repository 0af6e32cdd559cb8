/**
 * The platform's store as entry VMs read it.
 *
 * @module
 */
import type { PublishedConfiguration } from "../../version/published_configuration.ts";
import type { ListPosition } from "../placement/list_position.ts";
import type { ListedReplica, ReplicaList } from "../placement/replica_list.ts";

/**
 * Everything that the platform publishes, at the position that the replica list
 * has too.
 */
export interface PublishedState extends ListPosition {
  /** Undefined until the operator publishes the first one. */
  configuration: PublishedConfiguration | undefined;
  replicas: ReplicaList;
}

/** Everything that the platform publishes, as one read returned it. */
export interface WholeState extends PublishedState {
  /** Size of the read, in bytes. */
  sizeBytes: number;
  /**
   * Each replica that a change since the last read listed; undefined if the store
   * can't tell.
   */
  listed: readonly ListedReplica[] | undefined;
}

/** Result of a watch. */
export type StoreUpdate =
  | {
    kind: "state";
    state: PublishedState;
    /**
     * Whether the answer told each change up to the store's revision. The state
     * has that of the last one told.
     */
    isComplete: boolean;
    /** Each replica as a change listed it, also if a later one removed it. */
    listed: readonly ListedReplica[];
  }
  /**
   * The revision that the watch started from is not in the store's history, or
   * no longer: read everything again.
   */
  | { kind: "history_lost" };

/** Reads and watches what the platform publishes; read-only. */
export abstract class PublishedStore {
  /** Reads everything; rejects with `StepError`. */
  abstract fetchState(): Promise<WholeState>;
  /**
   * Waits up to `waitMs` for a change since the last read and returns the state
   * with it. Rejects with `StepError`.
   */
  abstract watch(waitMs: number): Promise<StoreUpdate>;
  /**
   * Lets the next watch go on from a list that another VM read, if that is newer
   * than the last read.
   */
  abstract resumeFrom(list: ReplicaList): void;
  /**
   * Lets the next watch go on from a list that another VM read, in the place of
   * what was read here, also if that is newer.
   */
  abstract replaceBy(list: ReplicaList): void;
}
