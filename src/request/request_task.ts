/**
 * The steps that completions and service calls share: claim the execution,
 * check the request, pass the rate limits, run the work, record the result.
 *
 * @module
 */
import { writeRefusal } from "../connection/refusal_body.ts";
import { toError } from "../errors.ts";
import { type RequestId, toId } from "../ids.ts";
import { type Refusal, RefusalError } from "../outcome.ts";
import { parseRequestId } from "../process/request_ids.ts";
import type { RequestClass, Snapshot, Workspace } from "../version/records.ts";
import { type CallerRequest, REQUEST_ID_HEADER } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RequestServices } from "./request_services.ts";
import { computeFingerprint } from "./request_fingerprint.ts";
import { RequestExecution } from "./request_execution.ts";
import { answerResubmission } from "./resubmission.ts";
import { runAttempts } from "./attempts.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** A single-use id cannot be claimed by another submission. */
const SINGLE_USE_CLAIM = { kind: "granted" as const, isValid: () => true };

/** One authenticated call. */
export interface WorkRequest {
  request: CallerRequest;
  sink: CallerSink;
  snapshot: Snapshot;
  workspace: Workspace;
  requestClass: RequestClass;
  idempotent: boolean;
}

/** Validated work, with the token estimate that is charged to the limits. */
export interface CheckedWork {
  work: UpstreamWork;
  promptTokens: number;
  /** Estimated tokens of the answer, until the real count is known. */
  expectedTokens: number;
}

/**
 * Runs one request to its end. `checkWork` throws `RefusalError` for an invalid
 * request. Rejects only if no execution was started and nothing was written to
 * the caller.
 */
export async function runRequest(
  services: RequestServices,
  workRequest: WorkRequest,
  checkWork: (execution: RequestExecution) => CheckedWork,
): Promise<void> {
  const givenId = workRequest.request.headers[REQUEST_ID_HEADER];
  const requestId = givenId === undefined
    ? services.claims.issueSingleUseId()
    : checkGivenId(givenId);
  const claim = givenId === undefined
    ? SINGLE_USE_CLAIM
    : await services.claims.claimExecution(requestId);
  if (claim.kind !== "granted") {
    const { workspace, sink } = workRequest;
    await answerResubmission(services, { requestId, workspace, sink }, claim);
    return;
  }
  const execution = RequestExecution.create(services, {
    requestId,
    fingerprint: computeFingerprint(
      workRequest.request,
      workRequest.workspace.name,
    ),
    workspace: workRequest.workspace,
    requestClass: workRequest.requestClass,
    snapshot: workRequest.snapshot,
    arrivedAt: workRequest.request.arrivedAt,
    sink: workRequest.sink,
    idempotent: workRequest.idempotent,
    isClaimValid: claim.isValid,
    retainsAnswer: givenId !== undefined,
  });
  if (givenId !== undefined) execution.note("claimed");
  await runExecution(execution, checkWork);
}

/** Rejects ids made up by callers: they name no VM that records the claim. */
function checkGivenId(givenId: string): RequestId {
  if (parseRequestId(givenId) !== undefined) return toId<RequestId>(givenId);
  throw new RefusalError({
    code: "bad_request",
    message: `${REQUEST_ID_HEADER}: not an id issued by POST /v1/requests`,
    outcome: "not_run",
  });
}

/**
 * Runs a claimed request and writes a refusal to the caller if it fails.
 * Resolves to whether the caller was sent the whole answer.
 */
export async function runExecution(
  execution: RequestExecution,
  checkWork: (
    execution: RequestExecution,
  ) => CheckedWork | Promise<CheckedWork>,
): Promise<boolean> {
  let checked: CheckedWork | undefined;
  try {
    checked = await checkWork(execution);
    await runAdmitted(execution, checked);
    execution.end({ kind: "answered" });
    return !execution.options.sink.signal.aborted;
  } catch (thrown) {
    const refusal = toRefusal(execution, thrown);
    const kind = refusal.code === "cancelled" ? "cancelled" : "refused";
    execution.end({ kind, refusal });
    await writeEnd(execution, refusal, checked?.work);
    return false;
  }
}

async function runAdmitted(
  execution: RequestExecution,
  checked: CheckedWork,
): Promise<void> {
  const { limits } = execution.services;
  const workspace = execution.options.workspace.name;
  const estimated = checked.promptTokens + checked.expectedTokens;
  await limits.admit(workspace, estimated);
  execution.note("admitted");
  try {
    await runAttempts(execution, checked.work);
  } finally {
    const hasRun = execution.getOutcome() !== "not_run";
    const actual = hasRun ? checked.promptTokens + execution.tokens : 0;
    limits.settle(workspace, { estimated, actual });
  }
}

/** Writes the refusal, or aborts the answer if its head has been written. */
async function writeEnd(
  execution: RequestExecution,
  refusal: Refusal,
  work: UpstreamWork | undefined,
): Promise<void> {
  const { sink } = execution.options;
  if (sink.signal.aborted) return;
  if (sink.headWritten && work !== undefined) {
    await work.endIncomplete(refusal);
    return;
  }
  await writeRefusal(sink, refusal, {
    requestId: execution.id,
    ...execution.services.buildRefusalOptions?.(refusal),
  });
}

function toRefusal(execution: RequestExecution, thrown: unknown): Refusal {
  if (thrown instanceof RefusalError) return thrown.refusal;
  const error = toError(thrown);
  execution.services.environment.log.error("request_failed", {
    request_id: execution.id,
    error: error.stack ?? error.message,
  });
  return {
    code: "internal",
    message: "Internal error in the router",
    outcome: execution.getOutcome(),
  };
}
