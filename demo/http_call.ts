/**
 * Single HTTP calls, each on a new connection.
 *
 * @module
 */
import { type IncomingMessage, request as sendRequest } from "node:http";
import { performance } from "node:perf_hooks";

const CALL_TIMEOUT_MS = 30_000;

/** Parameters of a call. */
export interface HttpCall {
  port: number;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /** Disconnects after this number of bytes of the response body. */
  abortAfterBytes?: number;
  /** Disconnects when aborted. */
  signal?: AbortSignal;
}

/** Result of a call. Times are in milliseconds from sending. */
export type HttpResult =
  | {
    kind: "whole";
    status: number;
    headers: Record<string, string>;
    body: string;
    totalMs: number;
  }
  /** The caller disconnected on purpose. */
  | { kind: "left"; headers: Record<string, string> }
  /** The connection was refused, so nothing was sent. */
  | { kind: "not_connected" }
  | { kind: "broken"; headers: Record<string, string>; message: string };

/** Sends a call; never rejects. */
export function sendCall(call: HttpCall): Promise<HttpResult> {
  return new Promise((resolve) => {
    const startedAt = performance.now();
    let headers: Record<string, string> = {};
    const onError = (error: NodeJS.ErrnoException) => {
      const isRefused = error.code === "ECONNREFUSED";
      resolve(
        isRefused
          ? { kind: "not_connected" }
          : { kind: "broken", headers, message: error.message },
      );
    };
    const request = sendRequest({
      host: "127.0.0.1",
      port: call.port,
      method: call.method,
      path: call.path,
      agent: false,
      timeout: CALL_TIMEOUT_MS,
      headers: buildHeaders(call),
      ...(call.signal !== undefined && { signal: call.signal }),
    });
    request.on("error", onError);
    request.on("timeout", () => request.destroy(new Error("Socket timed out")));
    request.on("response", (response) => {
      headers = toHeaders(response);
      readAnswer(response, { call, startedAt, resolve, onError });
    });
    request.end(call.body);
  });
}

/** Sends a call and parses the JSON answer; throws unless its status is 2xx. */
export async function fetchJson<T>(call: HttpCall): Promise<T> {
  const result = await sendCall(call);
  if (result.kind !== "whole" || result.status >= 300) {
    const found = result.kind === "whole" ? result.status : result.kind;
    throw new Error(`${call.method} ${call.path} failed: ${found}`);
  }
  return JSON.parse(result.body) as T;
}

interface ReadOptions {
  call: HttpCall;
  startedAt: number;
  resolve: (result: HttpResult) => void;
  onError: (error: Error) => void;
}

function readAnswer(response: IncomingMessage, options: ReadOptions): void {
  const { call, resolve, onError } = options;
  const headers = toHeaders(response);
  const parts: Buffer[] = [];
  let size = 0;
  response.on("data", (part: Buffer) => {
    parts.push(part);
    size += part.length;
    if (call.abortAfterBytes === undefined) return;
    if (size < call.abortAfterBytes) return;
    resolve({ kind: "left", headers });
    response.destroy();
  });
  response.on("error", onError);
  response.on("end", () => {
    resolve({
      kind: "whole",
      status: response.statusCode ?? 0,
      headers,
      body: Buffer.concat(parts).toString("utf8"),
      totalMs: performance.now() - options.startedAt,
    });
  });
}

function buildHeaders(call: HttpCall): Record<string, string> {
  if (call.body === undefined) return { ...call.headers };
  return {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(call.body)),
    ...call.headers,
  };
}

function toHeaders(response: IncomingMessage): Record<string, string> {
  return Object.fromEntries(
    Object.entries(response.headers)
      .map(([name, value]) => [name, String(value)]),
  );
}
