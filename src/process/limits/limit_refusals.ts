/**
 * What a caller is told whose workspace is over its limit.
 *
 * @module
 */
import { RefusalError } from "../../outcome.ts";
import type { Workspace } from "../../version/records.ts";

/** Throws `RefusalError` for what no waiting helps. */
export function checkPossible(workspace: Workspace, tokens: number): void {
  const { requestsPerMinute, tokensPerMinute } = workspace.limits;
  if (requestsPerMinute > 0 && tokens <= tokensPerMinute) return;
  throw new RefusalError({
    code: "rate_limited",
    message: `The request needs ${tokens} tokens, more than workspace ` +
      `${workspace.name} may use in a minute`,
    outcome: "not_run",
  });
}

/** The refusal of a request that could be admitted in `waitMs`. */
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
 * The refusal of a request that found no answering owner and this VM's share
 * used up. The workspace may well be within its limit, so nothing else is said.
 */
export function buildShareRefusal(
  workspace: Workspace,
  waitMs: number,
): RefusalError {
  return new RefusalError({
    code: "owner_unreachable",
    message:
      `The VM that keeps the limit of workspace ${workspace.name} does ` +
      "not answer, and this VM's own share of the limit is used up",
    outcome: "not_run",
    retryAfterMs: Math.ceil(waitMs),
  });
}
