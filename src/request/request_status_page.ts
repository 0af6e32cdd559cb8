/**
 * The answer to `GET /v1/requests/ID`.
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type { RequestStatusAnswer } from "../process/peer_api.ts";
import type { Workspace } from "../version/records.ts";
import type { RequestStatus } from "./request_status.ts";
import type { RequestServices } from "./request_services.ts";

/** A request's status as JSON, or the reason why it is unknown. */
export type RequestStatusPage = Record<string, unknown>;

/**
 * Finds the status of a request of `workspace`. Throws `RefusalError`
 * (`not_found`) for a request of another workspace.
 */
export async function buildStatusPage(
  services: RequestServices,
  requestId: RequestId,
  workspace: Workspace,
): Promise<RequestStatusPage> {
  let found: RequestStatusAnswer;
  try {
    found = await services.findStatus(requestId, { withAnswer: false });
  } catch (thrown) {
    return buildUndeterminedPage(requestId, thrown);
  }
  if (found.fate === undefined) {
    const why = "No VM has a record of the request: it was never " +
      "submitted, its VM was replaced, or the record was evicted";
    return buildUnknownPage(requestId, why);
  }
  if (found.fate.workspace === workspace.name) {
    return formatStatusPage(found.fate);
  }
  throw new RefusalError({
    code: "not_found",
    message: "The workspace has no such request",
    outcome: "not_run",
  });
}

/** Builds the page of a request whose status cannot be determined. */
export function buildUndeterminedPage(
  requestId: RequestId,
  thrown: unknown,
): RequestStatusPage {
  const why = `The request's status cannot be determined: ${
    toError(thrown).message
  }`;
  return buildUnknownPage(requestId, why);
}

/** Formats a status as callers and operators read it. */
export function formatStatusPage(status: RequestStatus): RequestStatusPage {
  return {
    request_id: status.requestId,
    outcome: status.outcome,
    code: status.code,
    vm: status.vm,
    workspace: status.workspace,
    class: status.className,
    arrived_at: status.arrivedAt,
    config_version: status.configVersion,
    tokens: status.tokens,
    steps: status.steps.map((step) => ({
      step: step.step,
      age_ms: step.ageMs,
      peer: step.peer,
      detail: step.detail,
    })),
    dropped_steps: status.droppedSteps,
  };
}

function buildUnknownPage(
  requestId: RequestId,
  why: string,
): RequestStatusPage {
  return { request_id: requestId, outcome: "unknown", why, steps: [] };
}
