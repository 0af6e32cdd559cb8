/**
 * Calls as callers and engineers make them.
 *
 * @module
 */
import http from "node:http";

/** A whole answer, or how it broke. */
export interface TestAnswer {
  status: number;
  headers: http.IncomingHttpHeaders;
  body: string;
  isWhole: boolean;
}

/** What a caller sends. */
export interface TestCall {
  path: string;
  method?: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs?: number;
  /** Aborts as a caller that leaves. */
  signal?: AbortSignal;
  /** Keeps connections; each call has its own without it. */
  agent?: http.Agent;
  /** A caller that hears nothing for so long leaves, in milliseconds. */
  giveUpMs?: number;
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
      ...(options.giveUpMs === undefined ? {} : { timeout: options.giveUpMs }),
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
