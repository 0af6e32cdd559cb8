/**
 * What completions and service calls do alike, straight down: authenticate,
 * claim, check, admit, work, end.
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
import { RequestRun } from "./request_run.ts";
import { answerResubmission } from "./resubmission.ts";
import { runTries } from "./attempts.ts";
import type { UpstreamWork } from "./upstream_work.ts";

/** Carries an id that the caller took from `POST /v1/requests`. */

/** Nobody else can run an id that goes with this submission alone. */
const OWN_CLAIM = { kind: "granted" as const, isStanding: () => true };

/** One call that asks for work. */
export interface WorkRequest {
  request: CallerRequest;
  sink: CallerSink;
  snapshot: Snapshot;
  workspace: Workspace;
  requestClass: RequestClass;
  idempotent: boolean;
}

/** Work that was checked, and what its limits are charged at first. */
export interface CheckedWork {
  work: UpstreamWork;
  /** Tokens of the prompt. */
  promptTokens: number;
  /** Tokens that the answer is taken to have until it is known. */
  expectedTokens: number;
}

/**
 * Runs one request to its end. `checkWork` throws `RefusalError` for a request
 * that cannot be done. Rejects only where nothing has been answered and no run
 * was begun.
 */
export async function runRequest(
  services: RequestServices,
  asked: WorkRequest,
  checkWork: (run: RequestRun) => CheckedWork,
): Promise<void> {
  const givenId = asked.request.headers[REQUEST_ID_HEADER];
  const requestId = givenId === undefined
    ? services.claims.issueSingleUseId()
    : checkGivenId(givenId);
  const claim = givenId === undefined
    ? OWN_CLAIM
    : await services.claims.claimExecution(requestId);
  if (claim.kind !== "granted") {
    const { workspace, sink } = asked;
    await answerResubmission(services, { requestId, workspace, sink }, claim);
    return;
  }
  const run = RequestRun.create(services, {
    requestId,
    fingerprint: computeFingerprint(asked.request, asked.workspace.name),
    workspace: asked.workspace,
    requestClass: asked.requestClass,
    snapshot: asked.snapshot,
    arrivedAt: asked.request.arrivedAt,
    sink: asked.sink,
    idempotent: asked.idempotent,
    isClaimStanding: claim.isStanding,
    retainsAnswer: givenId !== undefined,
  });
  if (givenId !== undefined) run.note("claimed");
  await runClaimed(run, checkWork);
}

/** An id made up by the caller names no VM that could hold its one run. */
function checkGivenId(givenId: string): RequestId {
  if (parseRequestId(givenId) !== undefined) return toId<RequestId>(givenId);
  throw new RefusalError({
    code: "bad_request",
    message: `${REQUEST_ID_HEADER}: Not an id from POST /v1/requests`,
    outcome: "not_run",
  });
}

/** Runs a request whose id is claimed, and tells the caller how it ended. */
export async function runClaimed(
  run: RequestRun,
  checkWork: (run: RequestRun) => CheckedWork,
): Promise<void> {
  let checked: CheckedWork | undefined;
  try {
    checked = checkWork(run);
    await runAdmitted(run, checked);
    run.end({ kind: "answered" });
  } catch (thrown) {
    const refusal = toRefusal(run, thrown);
    const kind = refusal.code === "cancelled" ? "cancelled" : "refused";
    run.end({ kind, refusal });
    await writeEnd(run, refusal, checked?.work);
  }
}

async function runAdmitted(
  run: RequestRun,
  checked: CheckedWork,
): Promise<void> {
  const { limits } = run.services;
  const workspace = run.start.workspace.name;
  const estimated = checked.promptTokens + checked.expectedTokens;
  await limits.admit(workspace, estimated);
  run.note("admitted");
  try {
    await runTries(run, checked.work);
  } finally {
    const hasRun = run.getOutcome() !== "not_run";
    const actual = hasRun ? checked.promptTokens + run.tokens : 0;
    limits.settle(workspace, { estimated, actual });
  }
}

/** Tells the caller at once; where the answer has begun, cuts it. */
async function writeEnd(
  run: RequestRun,
  refusal: Refusal,
  work: UpstreamWork | undefined,
): Promise<void> {
  const { sink } = run.start;
  if (sink.signal.aborted) return;
  if (sink.headWritten && work !== undefined) {
    await work.endCut(refusal);
    return;
  }
  await writeRefusal(sink, refusal, {
    requestId: run.id,
    ...run.services.buildRefusalOptions?.(refusal),
  });
}

function toRefusal(run: RequestRun, thrown: unknown): Refusal {
  if (thrown instanceof RefusalError) return thrown.refusal;
  const error = toError(thrown);
  run.services.environment.log.error("request_failed", {
    request_id: run.id,
    error: error.stack ?? error.message,
  });
  return {
    code: "internal",
    message: "The router failed",
    outcome: run.getOutcome(),
  };
}
