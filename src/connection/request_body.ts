/**
 * Reads request bodies with a size limit and a timeout.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import type { Clock } from "../process/clock.ts";
import { RefusalError } from "../outcome.ts";
import type { BodyBudget } from "./body_budget.ts";
import { ChunkBuffer } from "./chunk_buffer.ts";

/** Time after which bodies that are being read now have mostly been read. */
const BUSY_RETRY_AFTER_MS = 1_000;

/** Limits on a body. */
export interface BodyLimits {
  clock: Clock;
  maxBodyBytes: number;
  bodyTimeoutMs: number;
  /** Shared by all bodies of the listener; no bound if it is left out. */
  budget?: BodyBudget | undefined;
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
    const { budget } = limits;
    const buffer = ChunkBuffer.create();
    const finish = (error: RefusalError | undefined) => {
      cancelTimer();
      budget?.end(buffer.length);
      request.off("data", onData);
      request.off("end", onEnd);
      request.off("close", onClose);
      if (error === undefined) resolve(buffer.take());
      else reject(error);
    };
    const onData = (chunk: Buffer) => {
      if (budget?.take(chunk.length) === false) return finish(createBusy());
      buffer.add(chunk);
      if (buffer.length > limits.maxBodyBytes) finish(createTooLarge());
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

function createTooLarge(): RefusalError {
  return new RefusalError({
    code: "payload_too_large",
    message: "Request body exceeds the size limit",
    outcome: "not_run",
  });
}

function createBusy(): RefusalError {
  return new RefusalError({
    code: "queue_full",
    message: "The VM is reading too many large bodies",
    outcome: "not_run",
    retryAfterMs: BUSY_RETRY_AFTER_MS,
  });
}

function createDisconnected(): RefusalError {
  return new RefusalError({
    code: "cancelled",
    message: "Caller disconnected",
    outcome: "not_run",
  });
}
