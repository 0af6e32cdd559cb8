/**
 * HTTP calls of callers and operators, for tests.
 *
 * @module
 */
import http from "node:http";

/** A received answer, possibly incomplete. */
export interface TestAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  isWhole: boolean;
}

/** A caller's request. */
export interface TestCall {
  path: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs?: number;
  /** Aborting disconnects the caller. */
  signal?: AbortSignal;
  /** Keep-alive agent; without it each call opens a connection. */
  agent?: http.Agent;
  /** The caller disconnects after silence of this length. */
  clientTimeoutMs?: number;
}

/** Sends a call to `ADDRESS:PORT`. */
export function sendCall(
  endpoint: string,
  options: TestCall,
): Promise<TestAnswer> {
  const [host, port] = endpoint.split(":");
  return new Promise((resolve) => {
    const answer: TestAnswer = {
      status: 0,
      headers: {},
      body: "",
      isWhole: false,
    };
    const request = http.request({
      host,
      port: Number(port),
      method: options.method ?? "POST",
      path: options.path,
      headers: options.headers ?? {},
      agent: options.agent ?? false,
      ...(options.clientTimeoutMs === undefined
        ? {}
        : { timeout: options.clientTimeoutMs }),
      ...(options.signal ? { signal: options.signal } : {}),
    }, (response) => {
      answer.status = response.statusCode ?? 0;
      answer.headers = response.headers;
      response.on("data", (chunk) => answer.body += chunk);
      response.on("error", () => resolve(answer));
      response.on("close", () => resolve(answer));
      response.on("end", () => {
        answer.isWhole = response.complete;
        resolve(answer);
      });
    });
    request.on("timeout", () => request.destroy());
    request.on("error", () => resolve(answer));
    request.end(options.body ?? "");
  });
}
