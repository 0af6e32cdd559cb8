/**
 * Reads an upstream's whole answer, within a bound.
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

/** Reads a body whole; throws `BrokenAnswerError` when it is too large. */
export async function readWhole(
  body: AsyncIterable<Uint8Array>,
  maxBytes: number,
): Promise<Buffer> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    if (bytes > maxBytes) throw BrokenAnswerError.create("Answer is too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
}

/**
 * Throws `BrokenAnswerError` where an engine's status means that another one
 * may do better. A 4xx that the caller earned passes.
 */
export async function checkEngineStatus(answer: UpstreamAnswer): Promise<void> {
  const { status } = answer;
  const isFailure = status >= FIRST_SERVER_ERROR ||
    TRANSIENT_STATUSES.has(status);
  if (!isFailure) return;
  const body = await readWhole(answer.body, MAX_REFUSAL_BYTES);
  const notStarted = status === SERVICE_UNAVAILABLE &&
    findErrorCode(body) === NOT_STARTED_CODE;
  throw new BrokenAnswerError(
    notStarted ? "Engine did not start" : `Engine answered ${status}`,
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
