/**
 * What requests take from their process.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { Refusal } from "../outcome.ts";
import type { AnswerStore } from "../process/answer_store.ts";
import type { LocalEnvironment } from "../process/environment.ts";
import type { RequestStatusStore } from "../process/request_status_store.ts";
import type { RequestStatusAnswer } from "../process/peer_api.ts";
import type {
  ExecutionClaims,
  LeaseSource,
  LimitSource,
  Quarantine,
  RequestMetrics,
  RetryBudget,
} from "../process/services.ts";
import type { UnreadableHeaderLog } from "../process/unreadable_header_log.ts";
import type { Snapshot } from "../version/records.ts";

/** The process-wide parts behind every request. */
export interface RequestServices {
  environment: LocalEnvironment;
  /** The configuration in force; undefined until there is one. */
  getSnapshot: () => Snapshot | undefined;
  leases: LeaseSource;
  limits: LimitSource;
  claims: ExecutionClaims;
  requestStatuses: RequestStatusStore;
  retryBudget: RetryBudget;
  quarantine: Quarantine;
  /** Log lines on what upstreams ask and cannot be read. */
  unreadableHeaders: UnreadableHeaderLog;
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
  findStatus: (
    requestId: RequestId,
    options: { withAnswer: boolean },
  ) => Promise<RequestStatusAnswer>;
}
