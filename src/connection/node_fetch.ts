/**
 * As much of `fetch` as tRPC's link needs, over Node's own HTTP.
 *
 * @module
 */
import type { Agent, IncomingMessage, RequestOptions } from "node:http";
import http from "node:http";
import https from "node:https";
import type { TRPCFetch } from "@trpc/client";

const MAX_ANSWER_BYTES = 33_554_432;

/** What a call goes out on. */
export interface NodeFetchOptions {
  agent: Agent;
  /** Options for TLS; undefined for plain TCP. */
  tls: { ca: string; servername: string } | undefined;
}

interface Answer {
  status: number;
  ok: boolean;
  json: () => Promise<unknown>;
}

/** A fetch that uses `agent`'s connections and destroys one on abort. */
export function createNodeFetch(options: NodeFetchOptions): TRPCFetch {
  const fetchOverNode = (url: string, init: Parameters<TRPCFetch>[1]) => {
    return new Promise<Answer>((resolve, reject) => {
      const request = openRequest(url, { ...options, init });
      const signal = init?.signal as AbortSignal | null | undefined;
      // Destroying the connection, not only giving the answer up: a connection
      // that went silent would otherwise go back among the kept ones.
      const onAbort = () => request.destroy(new Error("Deadline passed"));
      const onDone = () => signal?.removeEventListener("abort", onAbort);
      signal?.addEventListener("abort", onAbort);
      request.on("error", (error) => {
        onDone();
        reject(error);
      });
      request.on("response", (message) => {
        readWhole(message).then(
          (text) => {
            onDone();
            resolve(toAnswer(message, text));
          },
          (error) => {
            onDone();
            request.destroy();
            reject(error);
          },
        );
      });
      request.end(init?.body);
      if (signal?.aborted) onAbort();
    });
  };
  return fetchOverNode as unknown as TRPCFetch;
}

function openRequest(
  url: string,
  options: NodeFetchOptions & { init: Parameters<TRPCFetch>[1] },
): http.ClientRequest {
  const { agent, tls, init } = options;
  const body = String(init?.body ?? "");
  const settings: RequestOptions = {
    agent,
    method: init?.method ?? "POST",
    headers: {
      ...init?.headers as Record<string, string>,
      "content-length": Buffer.byteLength(body),
    },
  };
  return tls === undefined
    ? http.request(url, settings)
    : https.request(url, { ...settings, ...tls });
}

async function readWhole(message: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of message) {
    length += chunk.length;
    if (length > MAX_ANSWER_BYTES) throw new Error("Answer is too large");
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}

function toAnswer(message: IncomingMessage, text: string): Answer {
  const status = message.statusCode ?? 0;
  return {
    status,
    ok: status >= 200 && status < 300,
    json: () => Promise.resolve(text === "" ? {} : JSON.parse(text)),
  };
}
