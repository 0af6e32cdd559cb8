/**
 * Reads a request's body whole, within limits of size and time.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../process/clock.ts";
import { RefusalError } from "../outcome.ts";

const EMPTY = Buffer.alloc(0);

/** Bounds on a body. */
export interface BodyLimits {
  clock: Clock;
  maxBodyBytes: number;
  bodyTimeoutMs: number;
}

/** A body that was not sent within its time. */
export class SlowBodyError extends RefusalError {
  constructor() {
    super({
      code: "bad_request",
      message: "Body came too slowly",
      outcome: "not_run",
    });
    this.name = "SlowBodyError";
  }
}

/** Resolves to the body; rejects `RefusalError`, always `not_run`. */
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
    const onClose = () => finish(createGone());
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
    message: "Body is too large",
    outcome: "not_run",
  });
}

function createGone(): RefusalError {
  return new RefusalError({
    code: "cancelled",
    message: "Caller went away",
    outcome: "not_run",
  });
}
