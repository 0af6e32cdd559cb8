/**
 * Writes an answer that is there as a whole.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import { AnswerCollector } from "./answer_collector.ts";
import { buildAnswerHeaders } from "./answer_headers.ts";
import type { RequestRun } from "./request_run.ts";

const JSON_TYPE = "application/json";

/** Keeps the answer for a resubmission, then writes and ends it. */
export async function writeWhole(
  run: RequestRun,
  answer: UpstreamAnswer,
  body: Uint8Array,
): Promise<void> {
  const { sink } = run.start;
  const headers = buildAnswerHeaders(run, {
    "content-type": answer.headers["content-type"] ?? JSON_TYPE,
    "content-length": String(body.length),
  });
  const collector = AnswerCollector.create(run);
  collector.noteHead(answer.status, headers);
  collector.noteBytes(body);
  collector.putAnswer();
  sink.writeHead(answer.status, headers);
  await sink.write(body);
  await sink.end();
}
