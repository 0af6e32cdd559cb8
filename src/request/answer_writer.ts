/**
 * Writes an answer whose body is complete.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import type { RequestExecution } from "./request_execution.ts";

const JSON_TYPE = "application/json";

/** Retains the answer for resubmissions, then writes and ends it. */
export async function writeAnswer(
  execution: RequestExecution,
  answer: UpstreamAnswer,
  body: Uint8Array,
): Promise<void> {
  const { sink } = execution.options;
  const headers = buildAnswerHeaders(execution, {
    "content-type": answer.headers["content-type"] ?? JSON_TYPE,
    "content-length": String(body.length),
  });
  const collector = AnswerCollector.create(execution);
  collector.noteHead(answer.status, headers);
  collector.noteBytes(body);
  collector.putAnswer();
  sink.writeHead(answer.status, headers);
  await sink.write(body);
  await sink.end();
}
