/**
 * Runs a completion, from the caller's request to the complete answer.
 *
 * @module
 */
import type { Snapshot } from "../version/records.ts";
import { checkCaller, chooseClass } from "./authenticate.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import { type Completion, parseCompletion } from "./completion_body.ts";
import { CompletionStreamWork } from "./completion_stream_work.ts";
import { CompletionBufferedWork } from "./completion_buffered_work.ts";
import type { RequestServices } from "./request_services.ts";
import type { RequestExecution } from "./request_execution.ts";
import { type CheckedWork, runRequest } from "./request_task.ts";
import { isMarkedNonIdempotent } from "./service_call.ts";

/** Output tokens charged to the rate limit until the real count is known. */
const EXPECTED_OUTPUT_TOKENS = 256;

/**
 * Runs a completion. Throws `RefusalError` only if no execution was started.
 */
export async function runCompletion(
  services: RequestServices,
  options: { request: CallerRequest; sink: CallerSink; snapshot: Snapshot },
): Promise<void> {
  const { request, snapshot } = options;
  const workspace = checkCaller(snapshot, request.headers);
  const requestClass = chooseClass(snapshot, workspace, {
    headers: request.headers,
  });
  const idempotent = requestClass.idempotent &&
    !isMarkedNonIdempotent(request.headers);
  const workRequest = { ...options, workspace, requestClass, idempotent };
  await runRequest(
    services,
    workRequest,
    (execution) => checkWork(execution, request),
  );
}

function checkWork(
  execution: RequestExecution,
  request: CallerRequest,
): CheckedWork {
  const { snapshot, requestClass } = execution.options;
  const completion = parseCompletion(request.body, {
    path: request.path,
    snapshot,
    requestClass,
  });
  const context = { execution, completion, path: request.path };
  return {
    work: completion.stream
      ? CompletionStreamWork.create(context)
      : CompletionBufferedWork.create(context),
    promptTokens: completion.promptTokens,
    expectedTokens: computeExpectedTokens(completion),
  };
}

function computeExpectedTokens(completion: Completion): number {
  return Math.min(completion.maxTokens, EXPECTED_OUTPUT_TOKENS);
}
