/**
 * Interface of the process's knowledge of where streams began.
 *
 * @module
 */
import type {
  PoolName,
  RequestFingerprint,
  RequestId,
  SoftwareVersion,
  VmId,
  WorkspaceName,
} from "../ids.ts";

/** A stream, by the request that brought its first event. */
export interface StreamName {
  workspace: WorkspaceName;
  requestId: RequestId;
}

/**
 * A stream, by what its request asks for: all that is known of it where its
 * caller takes it up without naming the request.
 */
export interface StreamContent {
  fingerprint: RequestFingerprint;
  /** Parts of its prompt, of which the last is its own or its session's. */
  parts: readonly string[];
  promptTokens: number;
  maxTokens: number;
}

/** The replicas that a stream may go on at. */
export interface StreamOrigin {
  pool: PoolName;
  version: SoftwareVersion;
}

/** An origin, and the VM that knew it or why it is certain. */
export interface FoundOrigin {
  origin: StreamOrigin;
  knownBy: VmId | "only_version";
}

/** What a search for a stream's origin may rely on. */
export interface FindOriginOptions {
  /** The pool that the request would go to. */
  pool: PoolName;
  /** `Clock.now()` when the request arrived, after the stream began. */
  arrivedAt: number;
  /** `Clock.now()` at the request's deadline. */
  deadlineAt: number;
  /** Aborts when the caller disconnects. */
  signal: AbortSignal;
}

/** Knows at which software version streams began. */
export abstract class StreamOriginSource {
  /** Tells other VMs; call before the stream's first event is sent. */
  abstract announce(
    stream: StreamName,
    content: StreamContent,
    origin: StreamOrigin,
  ): void;
  /**
   * Finds the origin of a stream, by its content where the caller did not name
   * it. Resolves to undefined if nobody knows it.
   */
  abstract find(
    stream: StreamName | StreamContent,
    options: FindOriginOptions,
  ): Promise<FoundOrigin | undefined>;
}
