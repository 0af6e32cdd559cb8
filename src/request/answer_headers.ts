/**
 * Headers that every answer carries.
 *
 * @module
 */
import type { RequestRun } from "./request_run.ts";

/** Adds the request id, and while this VM drains, the end of the connection. */
export function buildAnswerHeaders(
  run: RequestRun,
  headers: Record<string, string>,
): Record<string, string> {
  const all: Record<string, string> = { ...headers, "x-request-id": run.id };
  // A kept connection would hold its caller here until the process ends.
  if (run.services.isDraining()) all["connection"] = "close";
  return all;
}
