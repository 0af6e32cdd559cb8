/**
 * Reads an upstream's answer into memory, up to a size limit.
 *
 * @module
 */
import type { UpstreamAnswer } from "../connection/upstream_transport.ts";
import { BrokenAnswerError } from "./upstream_work.ts";

const MAX_REFUSAL_BYTES = 64 * 1024;
const NOT_STARTED_CODE = "not_started";
const SERVICE_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;
const TRANSIENT_STATUSES = new Set([408, 429]);

/** Reads a body; throws `BrokenAnswerError` if it exceeds `maxBytes`. */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw BrokenAnswerError.create("Answer exceeds the size limit");
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
}

/**
 * Throws `BrokenAnswerError` if an engine's status calls for an attempt at
 * another engine. A 4xx that is the caller's own error is accepted.
 */
export async function checkEngineStatus(answer: UpstreamAnswer): Promise<void> {
  const { status } = answer;
  const isFailure = status >= FIRST_SERVER_ERROR ||
    TRANSIENT_STATUSES.has(status);
  if (!isFailure) return;
  const body = await readBody(answer.body, MAX_REFUSAL_BYTES);
  const notStarted = status === SERVICE_UNAVAILABLE &&
    findErrorCode(body) === NOT_STARTED_CODE;
  throw new BrokenAnswerError(
    notStarted
      ? "Engine answered 503 with code not_started"
      : `Engine answered ${status}`,
    { notStarted },
  );
}

function findErrorCode(body: Buffer): string | undefined {
  try {
    return JSON.parse(body.toString("utf8"))?.error?.code;
  } catch {
    return undefined;
  }
}
