/**
 * Refusals of requests whose workspace is over its limit.
 *
 * @module
 */
import { RefusalError } from "../../outcome.ts";
import type { Workspace } from "../../version/records.ts";

/** Throws `RefusalError` for a request that no wait would admit. */
export function checkFitsLimit(workspace: Workspace, tokens: number): void {
  const { requestsPerMinute, tokensPerMinute } = workspace.limits;
  if (requestsPerMinute > 0 && tokens <= tokensPerMinute) return;
  throw new RefusalError({
    code: "rate_limited",
    message: `The request needs ${tokens} tokens, more than workspace ` +
      `${workspace.name} may use in a minute`,
    outcome: "not_run",
  });
}

/** Refusal of a request that could be admitted in `waitMs`. */
export function buildLimitRefusal(
  workspace: Workspace,
  waitMs: number,
): RefusalError {
  const { requestsPerMinute, tokensPerMinute } = workspace.limits;
  return new RefusalError({
    code: "rate_limited",
    message: `Workspace ${workspace.name} is over its limit of ` +
      `${requestsPerMinute} requests and ${tokensPerMinute} tokens a minute`,
    outcome: "not_run",
    retryAfterMs: Math.ceil(waitMs),
  });
}

/**
 * Refusal of a request for which no owner answered and this VM's share is used
 * up. The workspace may well be within its limit, so the message does not say
 * otherwise.
 */
export function buildShareRefusal(
  workspace: Workspace,
  waitMs: number,
): RefusalError {
  return new RefusalError({
    code: "owner_unreachable",
    message: `The VM that owns the limit of workspace ${workspace.name} does ` +
      "not answer, and this VM's share of the limit is used up",
    outcome: "not_run",
    retryAfterMs: Math.ceil(waitMs),
  });
}
