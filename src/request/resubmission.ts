/**
 * Answers a submission of an id whose execution cannot be claimed.
 *
 * @module
 */
import { match } from "ts-pattern";
import { toError } from "../errors.ts";
import type { RequestId, VmId } from "../ids.ts";
import {
  type ExecutionOutcome,
  type Refusal,
  RefusalError,
} from "../outcome.ts";
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

/** One resubmission of a request id. */
export interface Resubmission {
  requestId: RequestId;
  workspace: Workspace;
  sink: CallerSink;
}

/**
 * Replays the answer of the first execution if it was retained; otherwise
 * throws `RefusalError` with the outcome of that execution. Starts no
 * execution.
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
        "The request id cannot be submitted: it has expired or " +
          "was not issued by POST /v1/requests",
      );
    })
    .with({ kind: "unreachable" }, ({ issuer, why }) => {
      // If this VM is the issuer, an earlier process of it issued the id, and
      // the claims of that process are lost for good.
      const mayAnswerLater = issuer !== services.environment.vm;
      throw createUnknown(
        `VM ${issuer}, the issuer of the request id, cannot answer: ${why}`,
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
  const found = await findStatusAt(services, resubmission.requestId, runner);
  // An answer is returned only to the workspace that it belongs to.
  const isOwn = found?.fate?.workspace === resubmission.workspace.name;
  return isOwn ? found?.answer : undefined;
}

async function findStatusAt(
  services: RequestServices,
  requestId: RequestId,
  runner: VmId,
): Promise<RequestStatusAnswer | undefined> {
  const { environment, requestStatuses, answers } = services;
  if (runner === environment.vm) {
    return {
      fate: requestStatuses.find(requestId),
      answer: answers.find(requestId),
    };
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
      message: `The request is running on VM ${claim.runner}`,
      outcome: "unknown",
      retryAfterMs: STILL_RUNNING_RETRY_MS,
    }))
    .with("answered", () => ({
      code: "already_submitted",
      message: "The request was answered; its answer is no longer retained",
      outcome: "ran",
    }))
    .with("ran", "unknown", "not_run", (outcome: ExecutionOutcome) => ({
      code: "already_submitted",
      message: `The request was submitted before, to VM ${claim.runner}`,
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
