/**
 * Interface for calls to upstreams, independent of the protocol.
 *
 * @module
 */
import { StepError } from "../errors.ts";
import type { ErrorContext } from "../errors.ts";
import type { VmId } from "../ids.ts";

/** Timeouts of one call, in milliseconds. */
export interface CallTimeouts {
  firstByteMs: number;
  betweenBytesMs: number;
  totalMs: number;
  /**
   * Called when a timeout on silence has passed: the time to wait on, in
   * milliseconds; 0 to give up. It does not extend the total timeout.
   */
  computeExtensionMs?: () => number;
}

/** One call to one upstream. */
export interface UpstreamCall {
  upstream: VmId;
  method: string;
  /** Path and query. */
  path: string;
  headers: Record<string, string>;
  /** The host header; the upstream's own address by default. */
  host?: string | undefined;
  body: Uint8Array;
  /**
   * Whether to use a new connection; true for work that may run at most once.
   * An upstream may already have closed a keep-alive connection, and then it is
   * unknown whether it read the request.
   */
  freshConnection: boolean;
  timeouts: CallTimeouts;
  /** Aborting cancels the work at the upstream. */
  signal: AbortSignal;
  /**
   * Called after the connection is established, right before the first byte
   * is sent. False ends the call with the kind `not_sent`. The process may be
   * paused while it connects, and its lease or claim may expire meanwhile.
   */
  canSend?: () => boolean;
}

/** An upstream's answer, its body not yet read. */
export interface UpstreamAnswer {
  status: number;
  headers: Record<string, string>;
  /**
   * Whether the answer has neither a length nor chunks, so that its end looks
   * like a crash of the upstream.
   */
  isCloseDelimited?: boolean;
  /** Applies backpressure; iteration throws `UpstreamError`. */
  body: AsyncIterable<Uint8Array>;
}

/** The cause of a failed call. */
export type UpstreamErrorKind =
  | "connect"
  | "not_sent"
  | "write"
  | "first_byte_timeout"
  | "between_bytes_timeout"
  | "total_timeout"
  | "broken"
  | "aborted";

/** A failed call to an upstream. */
export class UpstreamError extends StepError {
  readonly kind: UpstreamErrorKind;
  /**
   * Whether any byte of the request may have reached the upstream. The outcome
   * `not_run` may be reported to a caller only if this is false.
   */
  readonly mayHaveRun: boolean;

  constructor(
    context: ErrorContext,
    options: { kind: UpstreamErrorKind; mayHaveRun: boolean; message: string },
  ) {
    super(context, options.message);
    this.name = "UpstreamError";
    this.kind = options.kind;
    this.mayHaveRun = options.mayHaveRun;
  }
}

/** The load that an engine reports. */
export interface LoadReport {
  /** Age of the figures when the engine sent them. */
  ageMs: number;
  running: number;
  waiting: number;
  /** Fraction of the cache memory in use, 0 to 1. */
  cacheUsed: number;
  /** Whether the engine has announced that it accepts no more work. */
  leaving: boolean;
  models: { model: string; version: string; adapters: string[] }[];
  role: string;
  /** Fencing number of the last command that the engine accepted. */
  fencing: number;
  /** Sequence number of the engine's latest cache event. */
  cacheSequence: number;
}

/** A change in an engine's prefix cache. */
export interface CacheEvent {
  sequence: number;
  prefix: string;
  change: "stored" | "evicted";
}

/** A command to an engine; idempotent, as it names the desired state. */
export interface EngineCommand {
  action: "load" | "unload" | "role";
  model: string;
  version: string;
  adapter: string | undefined;
  role: string | undefined;
  fencing: number;
}

/** Sends calls to upstreams. */
export abstract class UpstreamTransport {
  /** Resolves at the answer's head; rejects with `UpstreamError`. */
  abstract send(call: UpstreamCall): Promise<UpstreamAnswer>;
  /**
   * Whether the upstream's process still accepts connections; false if it does
   * not or if this is unknown. Never rejects.
   */
  isListening(_upstream: VmId): Promise<boolean> {
    return Promise.resolve(false);
  }

  abstract fetchLoad(upstream: VmId): Promise<LoadReport>;
  abstract fetchCacheEvents(
    upstream: VmId,
    after: number,
  ): Promise<CacheEvent[]>;
  /** Resolves to false if the engine refuses the fencing number. */
  abstract sendCommand(
    upstream: VmId,
    command: EngineCommand,
  ): Promise<boolean>;
  /** Copies cached prefixes between engines; resolves to their number. */
  abstract copyCache(
    from: VmId,
    to: VmId,
    prefixes: string[],
  ): Promise<number>;
}
