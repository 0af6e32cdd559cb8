/**
 * What requests take from their process.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { Refusal } from "../outcome.ts";
import type { AnswerStore } from "../process/answer_store.ts";
import type { LocalEnvironment } from "../process/environment.ts";
import type { FateStore } from "../process/fate_store.ts";
import type { FateAnswer } from "../process/peer_api.ts";
import type {
  LeaseSource,
  LimitSource,
  Quarantine,
  RequestMetrics,
  RetryBudget,
  RunClaims,
} from "../process/services.ts";
import type { UnreadableSignals } from "../process/unreadable_signals.ts";
import type { Snapshot } from "../version/records.ts";

/** The process-wide parts behind every request. */
export interface RequestServices {
  environment: LocalEnvironment;
  /** The configuration in force; undefined until there is one. */
  getSnapshot: () => Snapshot | undefined;
  leases: LeaseSource;
  limits: LimitSource;
  claims: RunClaims;
  fates: FateStore;
  budget: RetryBudget;
  quarantine: Quarantine;
  /** Log lines on what upstreams ask and cannot be read. */
  unreadable: UnreadableSignals;
  metrics: RequestMetrics;
  answers: AnswerStore;
  isDraining: () => boolean;
  /** How refusals are told where callers go by the status alone. */
  buildRefusalOptions?: (
    refusal: Refusal,
  ) => { status: number; headers: Record<string, string> };
  /** The body of `GET /v1/entries`. */
  entries: (query: URLSearchParams) => unknown;
  /**
   * The fate from whichever VM knows it. Rejects when the VM that would know
   * cannot be asked.
   */
  findFate: (
    requestId: RequestId,
    options: { withAnswer: boolean },
  ) => Promise<FateAnswer>;
}
