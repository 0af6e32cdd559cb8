/**
 * Calls whose answers are read whole: engines' reports and orders.
 *
 * @module
 */
import { StepError, toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import type { UpstreamTransport } from "./upstream_transport.ts";

const NO_BODY = new Uint8Array();

/** One call with its bounds. */
export interface BufferedCall {
  /** Names the call in errors. */
  step: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  /** Milliseconds for the whole call. */
  timeoutMs: number;
  maxBytes: number;
}

/** A status with its whole body. */
export interface BufferedAnswer {
  status: number;
  body: Buffer;
}

/** The step and the upstream of a call. */
export interface CallPlace {
  step: string;
  upstream: VmId;
}

/** Makes a call and reads its answer; rejects `StepError`. */
export async function fetchBuffered(
  transport: UpstreamTransport,
  upstream: VmId,
  call: BufferedCall,
): Promise<BufferedAnswer> {
  const answer = await transport.send({
    upstream,
    method: call.method,
    path: call.path,
    headers: call.headers ?? {},
    body: call.body ?? NO_BODY,
    freshConnection: false,
    timeouts: {
      firstByteMs: call.timeoutMs,
      betweenBytesMs: call.timeoutMs,
      totalMs: call.timeoutMs,
    },
    signal: new AbortController().signal,
  });
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of answer.body) {
    length += chunk.length;
    if (length > call.maxBytes) {
      throw new StepError(
        { step: call.step, peer: upstream },
        "Answer is too large",
      );
    }
    chunks.push(chunk);
  }
  return { status: answer.status, body: Buffer.concat(chunks) };
}

/** Reads a report by `parse`; throws `StepError` for a bad one. */
export function parseReport<T>(
  answer: BufferedAnswer,
  options: CallPlace & { parse: (value: unknown) => T },
): T {
  checkStatus(answer, options);
  try {
    return options.parse(JSON.parse(answer.body.toString()));
  } catch (thrown) {
    throw new StepError(
      { step: options.step, peer: options.upstream, cause: toError(thrown) },
      "Report is not as documented",
    );
  }
}

/** Throws `StepError` for a status that is no success. */
export function checkStatus(answer: BufferedAnswer, place: CallPlace): void {
  if (answer.status >= 200 && answer.status < 300) return;
  throw new StepError(
    { step: place.step, peer: place.upstream },
    `Upstream answered ${answer.status}`,
  );
}

/** Reads a body as JSON; undefined if it is none. */
export function readJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
