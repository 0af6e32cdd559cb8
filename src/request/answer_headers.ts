/**
 * Headers that are added to every answer.
 *
 * @module
 */
import type { RequestExecution } from "./request_execution.ts";

/** Adds the request id, and `connection: close` while this VM drains. */
export function buildAnswerHeaders(
  execution: RequestExecution,
  headers: Record<string, string>,
): Record<string, string> {
  const all: Record<string, string> = {
    ...headers,
    "x-request-id": execution.id,
  };
  // A keep-alive connection would tie its caller to this VM until it exits.
  if (execution.services.isDraining()) all["connection"] = "close";
  return all;
}
