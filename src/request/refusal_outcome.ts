/**
 * The outcome of refusals that carry a request id issued beforehand.
 *
 * @module
 */
import type { Refusal } from "../outcome.ts";
import { parseRequestId } from "../process/request_ids.ts";

/**
 * Changes `not_run` to `unknown` if the request id may have been submitted
 * before. Otherwise a caller that resubmits a request which ran, to a VM
 * without a configuration or with a body over the size limit, would read
 * `not_run` because this submission reached no upstream. `already_submitted` is
 * kept: its outcome comes from the VM that issued the id.
 */
export function withProvableOutcome(
  refusal: Refusal,
  givenId: string | undefined,
): Refusal {
  const isFromIssuer = refusal.code === "already_submitted";
  if (refusal.outcome !== "not_run" || isFromIssuer) return refusal;
  if (givenId === undefined || parseRequestId(givenId) === undefined) {
    return refusal;
  }
  return { ...refusal, outcome: "unknown" };
}
