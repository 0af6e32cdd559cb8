/**
 * Reads request bodies with a size limit and a timeout.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../process/clock.ts";
import { RefusalError } from "../outcome.ts";

const EMPTY = Buffer.alloc(0);

/** Limits on a body. */
export interface BodyLimits {
  clock: Clock;
  maxBodyBytes: number;
  bodyTimeoutMs: number;
}

/** The body was not received within `bodyTimeoutMs`. */
export class SlowBodyError extends RefusalError {
  constructor() {
    super({
      code: "bad_request",
      message: "Request body was not received in time",
      outcome: "not_run",
    });
    this.name = "SlowBodyError";
  }
}

/** Resolves to the body; rejects with `RefusalError` (always `not_run`). */
export function readRequestBody(
  request: IncomingMessage,
  limits: BodyLimits,
): Promise<Uint8Array> {
  if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
    return Promise.reject(createTooLarge());
  }
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let length = 0;
    const finish = (error: RefusalError | undefined) => {
      cancelTimer();
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      if (error === undefined) resolve(mergeChunks(chunks));
      else reject(error);
    };
    const onData = (chunk: Buffer) => {
      length += chunk.length;
      chunks.push(chunk);
      if (length > limits.maxBodyBytes) finish(createTooLarge());
    };
    const onEnd = () => finish(undefined);
    const onClose = () => finish(createDisconnected());
    const cancelTimer = limits.clock.startTimer(
      limits.bodyTimeoutMs,
      () => finish(new SlowBodyError()),
    );
    request.on("data", onData);
    request.on("end", onEnd);
    request.on("close", onClose);
    request.on("error", onClose);
  });
}

function mergeChunks(chunks: Buffer[]): Uint8Array {
  if (chunks.length === 0) return EMPTY;
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
}

function createTooLarge(): RefusalError {
  return new RefusalError({
    code: "payload_too_large",
    message: "Request body exceeds the size limit",
    outcome: "not_run",
  });
}

function createDisconnected(): RefusalError {
  return new RefusalError({
    code: "cancelled",
    message: "Caller disconnected",
    outcome: "not_run",
  });
}
