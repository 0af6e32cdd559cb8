/**
 * One completion, from the caller's bytes to its whole answer.
 *
 * @module
 */
import type { Snapshot } from "../version/records.ts";
import { checkCaller, chooseClass } from "./authenticate.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import { type Completion, parseCompletion } from "./completion_body.ts";
import { CompletionStreamWork } from "./completion_stream_work.ts";
import { CompletionWholeWork } from "./completion_whole_work.ts";
import type { RequestServices } from "./request_services.ts";
import type { RequestRun } from "./request_run.ts";
import { type CheckedWork, runRequest } from "./request_task.ts";
import { isMarkedOnce } from "./service_call.ts";

/** Output tokens that a limit is charged before the real count is known. */
const EXPECTED_OUTPUT_TOKENS = 256;

/** Serves a completion; throws `RefusalError` before anything has begun. */
export async function runCompletion(
  services: RequestServices,
  options: { request: CallerRequest; sink: CallerSink; snapshot: Snapshot },
): Promise<void> {
  const { request, snapshot } = options;
  const workspace = checkCaller(snapshot, request.headers);
  const requestClass = chooseClass(snapshot, workspace, {
    headers: request.headers,
  });
  const idempotent = requestClass.idempotent && !isMarkedOnce(request.headers);
  const asked = { ...options, workspace, requestClass, idempotent };
  await runRequest(services, asked, (run) => checkWork(run, request));
}

function checkWork(run: RequestRun, request: CallerRequest): CheckedWork {
  const { snapshot, requestClass } = run.start;
  const completion = parseCompletion(request.body, {
    path: request.path,
    snapshot,
    requestClass,
  });
  const start = { run, completion, path: request.path };
  return {
    work: completion.stream
      ? CompletionStreamWork.create(start)
      : CompletionWholeWork.create(start),
    promptTokens: completion.promptTokens,
    expectedTokens: computeExpectedTokens(completion),
  };
}

function computeExpectedTokens(completion: Completion): number {
  return Math.min(completion.maxTokens, EXPECTED_OUTPUT_TOKENS);
}
