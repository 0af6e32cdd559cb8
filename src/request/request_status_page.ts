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

/** A fate as callers and operators read it, or why it is not known. */
export type RequestStatusPage = Record<string, unknown>;

/**
 * Finds what became of a request of `workspace`. Throws `RefusalError`
 * (`not_found`) for another workspace's.
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
    return buildUnreachablePage(requestId, thrown);
  }
  if (found.fate === undefined) {
    const why = "No VM that could know keeps a record of it: it was never " +
      "submitted, its VM was replaced, or the record had to make room";
    return buildUnknown(requestId, why);
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

/** The page of a request whose VM cannot be asked, with the reason. */
export function buildUnreachablePage(
  requestId: RequestId,
  thrown: unknown,
): RequestStatusPage {
  const why = `The VM that would know cannot be asked: ${
    toError(thrown).message
  }`;
  return buildUnknown(requestId, why);
}

/** Writes a record as a page. */
export function formatStatusPage(fate: RequestStatus): RequestStatusPage {
  return {
    request_id: fate.requestId,
    outcome: fate.outcome,
    code: fate.code,
    vm: fate.vm,
    workspace: fate.workspace,
    class: fate.className,
    arrived_at: fate.arrivedAt,
    config_version: fate.configVersion,
    tokens: fate.tokens,
    steps: fate.steps.map((step) => ({
      step: step.step,
      age_ms: step.ageMs,
      peer: step.peer,
      detail: step.detail,
    })),
    dropped_steps: fate.droppedSteps,
  };
}

function buildUnknown(requestId: RequestId, why: string): RequestStatusPage {
  return { request_id: requestId, outcome: "unknown", why, steps: [] };
}
