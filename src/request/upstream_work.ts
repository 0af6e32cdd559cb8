/**
 * The work that upstreams do for a request: base class of its kinds.
 *
 * @module
 */
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import type { SoftwareVersion } from "../ids.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease, LeaseRequest } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { AttemptProgress } from "./attempt_progress.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/** A request to an upstream. */
export interface WorkCall {
  method: string;
  /** Path and query. */
  path: string;
  /** The caller's `host` header, if the upstream is to receive it. */
  host?: string | undefined;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** An upstream's answer that must not be forwarded to the caller. */
export class BrokenAnswerError extends Error {
  /** Whether the answer states, as documented, that nothing was started. */
  readonly notStarted: boolean;

  constructor(message: string, options: { notStarted: boolean }) {
    super(message);
    this.name = "BrokenAnswerError";
    this.notStarted = options.notStarted;
  }

  static create(message: string): BrokenAnswerError {
    return new BrokenAnswerError(message, { notStarted: false });
  }
}

/** An answer that its upstream broke off and then ended in order. */
export class TruncatedAnswerError extends BrokenAnswerError {
  static override create(message: string): TruncatedAnswerError {
    return new TruncatedAnswerError(message, { notStarted: false });
  }
}

/** The context of an attempt, for forwarding its answer. */
export interface RelayOptions {
  /** Aborts if the caller disconnects or the slot is preempted. */
  signal: AbortSignal;
  progress: AttemptProgress;
  /** Call with the signals in the answer's head, if the upstream sent it. */
  onSignals: (signals: UpstreamSignals) => void;
  /** Call once the upstream has completed its answer: releases the slot. */
  onComplete: () => void;
  /** Whether another VM answers for the upstream. */
  isForwarded: boolean;
  /**
   * Version of the software of the upstream that answers; undefined if it is not
   * known. Another VM says it in its answer's head.
   */
  getUpstreamVersion: () => SoftwareVersion | undefined;
}

/** Throws `BrokenAnswerError` if the attempt has been cancelled. */
export function checkNotCancelled({ signal }: RelayOptions): void {
  if (signal.aborted) throw BrokenAnswerError.create("Attempt was cancelled");
}

/** The fields of a lease request that depend on the kind of work. */
export type LeaseRequirements = Pick<
  LeaseRequest,
  | "model"
  | "adapter"
  | "promptTokens"
  | "maxTokens"
  | "expectedTokens"
  | "doneTokens"
  | "prefixes"
  | "partTokens"
  | "isInteractive"
  | "firstOutputMs"
  | "clientTimeoutMs"
  | "priority"
  | "latePriority"
  | "regions"
  | "version"
>;

/** Default limit on sends of one request that may reach an upstream. */
const MAX_SENDS = 4;

/** Work that may take several attempts to produce one answer. */
export abstract class UpstreamWork {
  abstract readonly pool: UpstreamPool;

  /** Limit on sends that may reach an upstream, including the first. */
  get maxSends(): number {
    return MAX_SENDS;
  }

  /** The timeouts of an attempt with `leftMs` left until the deadline. */
  computeTimeouts(_leftMs: number): CallTimeouts {
    return this.pool.timeouts;
  }

  /** The parts of the prompt that other requests may have as well. */
  listSharedParts(): string[] {
    return [];
  }

  /** Builds the requirements for the lease of the next attempt. */
  abstract buildLeaseRequirements(): LeaseRequirements;
  /**
   * Builds the request of the next attempt; `sends` earlier ones may have
   * reached an upstream.
   */
  abstract buildCall(lease: HeldLease, sends: number): WorkCall;
  /**
   * Forwards an upstream's answer to the caller. Resolves when the caller has
   * the complete answer; throws `UpstreamError` or `BrokenAnswerError`.
   */
  abstract handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void>;
  /** Whether another attempt can still complete the caller's answer. */
  abstract canContinue(): boolean;
  /**
   * Ends a partially written answer that cannot be completed, so that the
   * caller cannot mistake it for a complete one.
   */
  abstract endIncomplete(refusal: Refusal): Promise<void>;
}
