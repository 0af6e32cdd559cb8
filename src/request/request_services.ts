/**
 * The parts of the process that requests use.
 *
 * @module
 */
import type { RequestId } from "../ids.ts";
import type { Refusal } from "../outcome.ts";
import type { AnswerStore } from "../process/answer_store.ts";
import type { Quarantine } from "../process/crash_quarantine.ts";
import type { DrainAdmission } from "../process/drain_admission.ts";
import type { LocalEnvironment } from "../process/environment.ts";
import type { RequestStatusStore } from "../process/request_status_store.ts";
import type { RequestStatusAnswer } from "../process/peer_api.ts";
import type {
  ExecutionClaims,
  LeaseSource,
  LimitSource,
  RequestMetrics,
  RetryBudget,
} from "../process/services.ts";
import type { UnreadableHeaderLog } from "../process/unreadable_header_log.ts";
import type { Snapshot } from "../version/records.ts";

/** The process-wide services that every request uses. */
export interface RequestServices {
  environment: LocalEnvironment;
  /** The active configuration; undefined until there is one. */
  getSnapshot: () => Snapshot | undefined;
  leases: LeaseSource;
  limits: LimitSource;
  claims: ExecutionClaims;
  requestStatuses: RequestStatusStore;
  retryBudget: RetryBudget;
  quarantine: Quarantine;
  /** Logs upstream headers whose values are invalid. */
  unreadableHeaders: UnreadableHeaderLog;
  metrics: RequestMetrics;
  answers: AnswerStore;
  isDraining: () => boolean;
  /** Decides what a draining VM takes; undefined where it takes everything. */
  admission?: DrainAdmission;
  /** Status and headers of refusals, if callers rely on the status alone. */
  buildRefusalOptions?: (
    refusal: Refusal,
  ) => { status: number; headers: Record<string, string> };
  /** Builds the body of `GET /v1/entries`. */
  entries: (query: URLSearchParams) => unknown;
  /**
   * Finds a request's status, on this VM or another. Rejects if the VM that has
   * it cannot be reached.
   */
  findStatus: (
    requestId: RequestId,
    options: { withAnswer: boolean },
  ) => Promise<RequestStatusAnswer>;
}
