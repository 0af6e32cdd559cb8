/**
 * One kind of work that upstreams do for a request.
 *
 * @module
 */
import type {
  CallLimits,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import type { Refusal } from "../outcome.ts";
import type { HeldLease, LeaseRequest } from "../process/services.ts";
import type { UpstreamPool } from "../version/records.ts";
import type { TryProgress } from "./attempt_progress.ts";
import type { UpstreamSignals } from "./upstream_signals.ts";

/** What goes to the upstream. */
export interface WorkCall {
  method: string;
  /** Path and query. */
  path: string;
  /** The host that the caller named, where the upstream is to see it. */
  host?: string | undefined;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** An answer of an upstream that is no answer for the caller. */
export class BrokenAnswerError extends Error {
  /** Whether the upstream's documented word is that it did nothing. */
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

/** What a try needs to pass an answer on. */
export interface RelayOptions {
  /** Aborts when the try is over: the caller left or the slot was taken. */
  signal: AbortSignal;
  progress: TryProgress;
  /** To be called with what the answer's head asks, if it is the upstream's. */
  onSignals: (signals: UpstreamSignals) => void;
  /** To be called once the upstream has done its part: frees its slot. */
  onWhole: () => void;
}

/** Throws when the try is over. */
export function checkWanted({ signal }: RelayOptions): void {
  if (signal.aborted) throw BrokenAnswerError.create("The call was given up");
}

/** What a lease is asked for with that depends on the kind of work. */
export type LeaseNeeds = Pick<
  LeaseRequest,
  | "model"
  | "adapter"
  | "promptTokens"
  | "maxTokens"
  | "doneTokens"
  | "prefixes"
  | "partTokens"
  | "isInteractive"
  | "firstOutputMs"
  | "clientTimeoutMs"
  | "priority"
  | "latePriority"
  | "regions"
>;

/** Sends of one request that may reach upstreams, unless the work says less. */
const MAX_SENDS = 4;

/** Work that may take several tries, all for one answer. */
export abstract class UpstreamWork {
  abstract readonly pool: UpstreamPool;

  /** Sends that may reach an upstream, the first one included. */
  get maxSends(): number {
    return MAX_SENDS;
  }

  /** The time limits of a try for which `leftMs` are left. */
  computeLimits(_leftMs: number): CallLimits {
    return this.pool.timeouts;
  }

  /** What a lease for the next try is asked for with. */
  abstract buildLeaseNeeds(): LeaseNeeds;
  /** What the next try sends. */
  abstract buildCall(lease: HeldLease): WorkCall;
  /**
   * Passes one upstream's answer to the caller. Resolves when the caller has
   * the whole answer; throws `UpstreamError` or `BrokenAnswerError`.
   */
  abstract handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void>;
  /** Whether another try can still give the caller one whole answer. */
  abstract canContinue(): boolean;
  /**
   * Ends an answer that has begun and cannot be finished, so that the caller
   * cannot take it for a whole one.
   */
  abstract endCut(refusal: Refusal): Promise<void>;
}
