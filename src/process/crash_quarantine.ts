/**
 * What keeps requests that crash replicas away from them, as requests see it.
 *
 * @module
 */
import type {
  Incarnation,
  PartKey,
  PoolName,
  RequestFingerprint,
  VmId,
} from "../ids.ts";

/** What a request may have in common with others that crash replicas. */
export interface RequestKeys {
  fingerprint: RequestFingerprint;
  /** Undefined before the request's pool is known. */
  pool?: PoolName;
  /** The parts of its prompt that other requests may have as well. */
  parts: readonly PartKey[];
}

/** A replica whose connection was lost during a request. */
export interface DisconnectedReplica {
  id: VmId;
  incarnation: Incarnation | undefined;
  /** Whether the replica had sent any output of the request. */
  hadOutput: boolean;
  /** `Clock.now()` at which the request was sent to it. */
  sentAt: number;
}

/** Why a request must not be sent. */
export interface RequestHold {
  leftMs: number;
  /** The part of its prompt that is held; undefined for the request itself. */
  part?: PartKey;
}

/** Requests that are not sent to replicas because they crash replicas. */
export abstract class Quarantine {
  /** The hold that a request falls under; undefined if it may be sent. */
  abstract findHold(keys: RequestKeys): RequestHold | undefined;
  /** Counts a request that was refused because of a hold. */
  abstract noteRefused(hold: RequestHold): void;
  /** Whether the request may have crashed replicas on which it was running. */
  abstract isSuspect(keys: RequestKeys): boolean;
  /**
   * Whether a part of the request may have crashed two replicas, one after the
   * other, so that another attempt would be likely to crash one more.
   */
  abstract isAccused(keys: RequestKeys): boolean;
  /**
   * Records that the connection to a replica was lost during the request.
   * Resolves once it is known whether the replica crashed; never rejects.
   */
  abstract noteConnectionLoss(
    keys: RequestKeys,
    replica: DisconnectedReplica,
  ): Promise<void>;
  /**
   * Records that a replica answered the request completely; `beganAt` is
   * `Clock.now()` at the first output of that answer.
   */
  abstract noteAnswered(keys: RequestKeys, beganAt: number): void;
}
