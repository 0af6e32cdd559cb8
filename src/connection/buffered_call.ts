/**
 * Calls whose answers are buffered, such as engine reports and commands.
 *
 * @module
 */
import { StepError, toError } from "../errors.ts";
import type { VmId } from "../ids.ts";
import type { UpstreamTransport } from "./upstream_transport.ts";

const NO_BODY = new Uint8Array();

/** A call with its limits. */
export interface BufferedCall {
  /** The call's name in errors. */
  step: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: Uint8Array;
  /** Whether to open a connection for this call; by default one is reused. */
  freshConnection?: boolean;
  /** Timeout of the whole call. */
  timeoutMs: number;
  maxBytes: number;
}

/** A buffered answer. */
export interface BufferedAnswer {
  status: number;
  headers: Record<string, string>;
  body: Buffer;
}

/** The step and the upstream of a call, for errors. */
export interface CallContext {
  step: string;
  upstream: VmId;
}

/** Sends a call and buffers its answer; rejects with `StepError`. */
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
    freshConnection: call.freshConnection ?? false,
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
        "Answer exceeds the size limit",
      );
    }
    chunks.push(chunk);
  }
  const { status, headers } = answer;
  return { status, headers, body: Buffer.concat(chunks) };
}

/** Parses a JSON answer with `parse`; throws `StepError` if this fails. */
export function parseReport<T>(
  answer: BufferedAnswer,
  options: CallContext & { parse: (value: unknown) => T },
): T {
  checkStatus(answer, options);
  try {
    return options.parse(JSON.parse(answer.body.toString()));
  } catch (thrown) {
    throw new StepError(
      { step: options.step, peer: options.upstream, cause: toError(thrown) },
      "Answer does not match its schema",
    );
  }
}

/** Throws `StepError` unless the status is 2xx. */
export function checkStatus(answer: BufferedAnswer, call: CallContext): void {
  if (answer.status >= 200 && answer.status < 300) return;
  throw new StepError(
    { step: call.step, peer: call.upstream },
    `Upstream answered ${answer.status}`,
  );
}

/** Parses a body as JSON; undefined if it is invalid. */
export function readJson(body: Buffer): unknown {
  try {
    return JSON.parse(body.toString());
  } catch {
    return undefined;
  }
}
