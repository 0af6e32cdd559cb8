/**
 * What a caller gets that submits an id whose run is not its to begin.
 *
 * @module
 */
import { match } from "ts-pattern";
import { toError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import { type Refusal, RefusalError, type RunOutcome } from "../outcome.ts";
import type {
  RequestStatusAnswer,
  RetainedAnswer,
} from "../process/peer_api.ts";
import type { ExecutionClaims } from "../process/services.ts";
import type { Workspace } from "../version/records.ts";
import type { CallerSink } from "./caller_sink.ts";
import type { RequestServices } from "./request_services.ts";

type Claim = Awaited<ReturnType<ExecutionClaims["claimExecution"]>>;
/** A claim that was not granted. */
export type DeniedClaim = Exclude<Claim, { kind: "granted" }>;
type TakenClaim = Extract<Claim, { kind: "taken" }>;

const STILL_RUNNING_RETRY_MS = 1_000;
const UNREACHABLE_RETRY_MS = 2_000;

/** Who resubmits what. */
export interface Resubmission {
  requestId: RequestId;
  workspace: Workspace;
  sink: CallerSink;
}

/**
 * Replays the first run's answer where it is kept; throws `RefusalError` with
 * the first run's outcome where it is not. Nothing runs.
 */
export async function answerResubmission(
  services: RequestServices,
  resubmission: Resubmission,
  claim: DeniedClaim,
): Promise<void> {
  const taken = match(claim)
    .with({ kind: "taken" }, (each) => each)
    .with({ kind: "unknown_id" }, () => {
      throw createUnknown(
        "The request id is not one that can be submitted now: it has " +
          "expired, or did not come from POST /v1/requests",
      );
    })
    .with({ kind: "unreachable" }, ({ issuer, why }) => {
      // Where this VM itself issued the id, an earlier process of it did, and
      // that one does not come back.
      const mayAnswerLater = issuer !== services.environment.vm;
      throw createUnknown(
        `VM ${issuer}, which issued the request id, cannot tell: ${why}`,
        mayAnswerLater ? UNREACHABLE_RETRY_MS : undefined,
      );
    })
    .exhaustive();
  const answer = taken.outcome === "answered"
    ? await findAnswer(services, resubmission, taken.runner)
    : undefined;
  if (answer === undefined) throw new RefusalError(buildTakenRefusal(taken));
  await writeRetained(resubmission.sink, answer);
}

async function findAnswer(
  services: RequestServices,
  resubmission: Resubmission,
  runner: VmId,
): Promise<RetainedAnswer | undefined> {
  const found = await findFateAt(services, resubmission.requestId, runner);
  // Another workspace's answer is nobody else's to read, whoever has the id.
  const isOwn = found?.fate?.workspace === resubmission.workspace.name;
  return isOwn ? found?.answer : undefined;
}

async function findFateAt(
  services: RequestServices,
  requestId: RequestId,
  runner: VmId,
): Promise<RequestStatusAnswer | undefined> {
  const { environment, requestStatuses: fates, answers } = services;
  if (runner === environment.vm) {
    return { fate: fates.find(requestId), answer: answers.find(requestId) };
  }
  try {
    return await environment.peers?.getPeer(runner)
      .findFate({ requestId, withAnswer: true });
  } catch (thrown) {
    environment.log.warn("answer_not_fetched", {
      request_id: requestId,
      peer: runner,
      error: toError(thrown).message,
    });
    return undefined;
  }
}

function buildTakenRefusal(claim: TakenClaim): Refusal {
  return match(claim.outcome)
    .returnType<Refusal>()
    .with("running", () => ({
      code: "already_submitted",
      message: `The request runs at VM ${claim.runner}`,
      outcome: "unknown",
      retryAfterMs: STILL_RUNNING_RETRY_MS,
    }))
    .with("answered", () => ({
      code: "already_submitted",
      message: "The request was answered; its answer is no longer kept",
      outcome: "ran",
    }))
    .with("ran", "unknown", "not_run", (outcome: RunOutcome) => ({
      code: "already_submitted",
      message: `The request was submitted before at VM ${claim.runner}`,
      outcome,
    }))
    .exhaustive();
}

async function writeRetained(
  sink: CallerSink,
  answer: RetainedAnswer,
): Promise<void> {
  sink.writeHead(answer.status, answer.headers);
  await sink.write(Buffer.from(answer.bodyBase64, "base64"));
  await sink.end();
}

function createUnknown(message: string, retryAfterMs?: number): RefusalError {
  const refusal: Refusal = {
    code: "fate_unknown",
    message,
    outcome: "unknown",
  };
  if (retryAfterMs !== undefined) refusal.retryAfterMs = retryAfterMs;
  return new RefusalError(refusal);
}
