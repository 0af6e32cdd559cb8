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
}

/** Requests that are not sent to replicas because they crash replicas. */
export abstract class Quarantine {
  /**
   * Remaining quarantine of a request, in milliseconds; 0 if it may be sent.
   */
  abstract getQuarantineMs(fingerprint: RequestFingerprint): number;
  /** Whether the request may have crashed replicas on which it was running. */
  abstract isSuspect(fingerprint: RequestFingerprint): boolean;
  /**
   * Records that the connection to a replica was lost during the request.
   * Resolves once it is known whether the replica crashed; never rejects.
   */
  abstract noteConnectionLoss(
    fingerprint: RequestFingerprint,
    replica: DisconnectedReplica,
  ): Promise<void>;
  /** Records that a replica answered the request completely. */
  abstract noteAnswered(fingerprint: RequestFingerprint): void;
}
