/**
 * How the router reaches an upstream, whatever carries the bytes.
 *
 * @module
 */
import { StepError } from "../errors.ts";
import type { ErrorContext } from "../errors.ts";
import type { VmId } from "../ids.ts";

/** Time limits of one call, in milliseconds. */
export interface CallTimeouts {
  firstByteMs: number;
  betweenBytesMs: number;
  totalMs: number;
  /**
   * Asked when a limit on silence has passed: true grants the same time again.
   * The total limit holds whatever it says.
   */
  canExtendTimeout?: () => boolean;
}

/** One call to one upstream. */
export interface UpstreamCall {
  upstream: VmId;
  method: string;
  /** Path and query. */
  path: string;
  headers: Record<string, string>;
  /** Goes out as the host header; the upstream's own address without it. */
  host?: string | undefined;
  body: Uint8Array;
  /**
   * True for work that may run at most once: the call goes out on a new
   * connection, because a kept one may have been closed by the other side
   * already, and then nobody can tell whether the request was read.
   */
  freshConnection: boolean;
  timeouts: CallTimeouts;
  /** Aborting cancels the work at the upstream. */
  signal: AbortSignal;
  /**
   * Asked once more when the connection stands, right before the first byte:
   * a process may be paused while it connects, and wake without the authority
   * to send. False ends the call with the kind `not_sent`.
   */
  canSend?: () => boolean;
}

/** An upstream's answer, its body not yet read. */
export interface UpstreamAnswer {
  status: number;
  headers: Record<string, string>;
  /** Reading honours backpressure; it throws `UpstreamError`. */
  body: AsyncIterable<Uint8Array>;
}

/** What went wrong between the router and an upstream. */
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
   * Whether any byte of the request may have reached the upstream. Only while
   * this is false may a caller be told `not_run`.
   */
  readonly mayHaveRun: boolean;

  constructor(
    place: ErrorContext,
    options: { kind: UpstreamErrorKind; mayHaveRun: boolean; message: string },
  ) {
    super(place, options.message);
    this.name = "UpstreamError";
    this.kind = options.kind;
    this.mayHaveRun = options.mayHaveRun;
  }
}

/** An engine's own account of its load. */
export interface LoadReport {
  /** How old the figures were when the engine gave them. */
  ageMs: number;
  running: number;
  waiting: number;
  /** Used share of the cache memory, 0 to 1. */
  cacheUsed: number;
  /** The engine's own word that it takes no more work. */
  leaving: boolean;
  models: { model: string; version: string; adapters: string[] }[];
  role: string;
  /** Fencing number of the last order that it accepted. */
  fencing: number;
  /** Sequence of its latest cache event. */
  cacheSequence: number;
}

/** One change in an engine's prefix cache. */
export interface CacheEvent {
  sequence: number;
  prefix: string;
  change: "stored" | "evicted";
}

/** An order to an engine; declarative, so that a repeat does no harm. */
export interface EngineCommand {
  action: "load" | "unload" | "role";
  model: string;
  version: string;
  adapter: string | undefined;
  role: string | undefined;
  fencing: number;
}

/** The way to the upstreams. */
export abstract class UpstreamTransport {
  /** Resolves once the answer's head is there; rejects `UpstreamError`. */
  abstract send(call: UpstreamCall): Promise<UpstreamAnswer>;
  /**
   * Whether the upstream's process still takes connections; false where it does
   * not, or nothing tells. Never rejects.
   */
  isListening(_upstream: VmId): Promise<boolean> {
    return Promise.resolve(false);
  }

  abstract fetchLoad(upstream: VmId): Promise<LoadReport>;
  abstract fetchCacheEvents(
    upstream: VmId,
    after: number,
  ): Promise<CacheEvent[]>;
  /** Resolves to false when the engine refuses the fencing number. */
  abstract sendCommand(upstream: VmId, order: EngineCommand): Promise<boolean>;
  /** Copies cached prefixes from one engine to another. */
  abstract copyCache(
    from: VmId,
    to: VmId,
    prefixes: string[],
  ): Promise<number>;
}
