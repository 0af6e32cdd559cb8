/**
 * What a refusal may say of a request id that the caller took beforehand.
 *
 * @module
 */
import type { Refusal } from "../outcome.ts";
import { parseRequestId } from "../process/request_ids.ts";

/**
 * What goes wrong without it: a caller that resubmits a request which ran, to
 * a VM without a configuration or with a body that is too large now, would read
 * "not run", because this submission reached no upstream. Of an id that was not
 * asked about, nothing is known; `already_submitted` is what its issuer said.
 */
export function withProvableOutcome(
  refusal: Refusal,
  givenId: string | undefined,
): Refusal {
  const isAsked = refusal.code === "already_submitted";
  if (refusal.outcome !== "not_run" || isAsked) return refusal;
  if (givenId === undefined || parseRequestId(givenId) === undefined) {
    return refusal;
  }
  return { ...refusal, outcome: "unknown" };
}
