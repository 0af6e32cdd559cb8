/**
 * The answer to `GET /v1/requests/ID`.
 *
 * @module
 */
import { toError } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import { RefusalError } from "../outcome.ts";
import type { FateAnswer } from "../process/peer_api.ts";
import type { Workspace } from "../version/records.ts";
import type { FateRecord } from "./fate.ts";
import type { RequestServices } from "./request_services.ts";

/** A fate as callers and operators read it, or why it is not known. */
export type FatePage = Record<string, unknown>;

/**
 * Finds what became of a request of `workspace`. Throws `RefusalError`
 * (`not_found`) for another workspace's.
 */
export async function buildFatePage(
  services: RequestServices,
  requestId: RequestId,
  workspace: Workspace,
): Promise<FatePage> {
  let found: FateAnswer;
  try {
    found = await services.findFate(requestId, { withAnswer: false });
  } catch (thrown) {
    return buildUnaskedPage(requestId, thrown);
  }
  if (found.fate === undefined) {
    const why = "No VM that could know keeps a record of it: it was never " +
      "submitted, its VM was replaced, or the record had to make room";
    return buildUnknown(requestId, why);
  }
  if (found.fate.workspace === workspace.name) {
    return formatFatePage(found.fate);
  }
  throw new RefusalError({
    code: "not_found",
    message: "The workspace has no such request",
    outcome: "not_run",
  });
}

/** The page of a request whose VM cannot be asked, with the reason. */
export function buildUnaskedPage(
  requestId: RequestId,
  thrown: unknown,
): FatePage {
  const why = `The VM that would know cannot be asked: ${
    toError(thrown).message
  }`;
  return buildUnknown(requestId, why);
}

/** Writes a record as a page. */
export function formatFatePage(fate: FateRecord): FatePage {
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

function buildUnknown(requestId: RequestId, why: string): FatePage {
  return { request_id: requestId, outcome: "unknown", why, steps: [] };
}
