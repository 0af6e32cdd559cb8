/**
 * HTTP listener for small answers that a function builds.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Log } from "../process/log.ts";
import { HttpListener } from "./http_listener.ts";
import type { ServerLimits } from "./http_server.ts";

const LIMITS: ServerLimits = {
  maxHeaderBytes: 8_192,
  maxConnections: 256,
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 5_000,
  keepAliveMs: 20_000,
  inactivityMs: 20_000,
};

/** A complete answer. */
export interface SimpleAnswer {
  status: number;
  type: string;
  body: string;
  headers?: Record<string, string>;
}

/** Builds the answer to a request from its method and URL. */
export type BuildAnswer = (
  method: string,
  url: URL,
) => SimpleAnswer | Promise<SimpleAnswer>;

/** Options of `SimpleListener`. */
export interface SimpleListenerOptions {
  name: string;
  log: Log;
  /** 256 by default. */
  maxConnections?: number | undefined;
  buildAnswer: BuildAnswer;
}

/** Answers each request with the result of a function; ignores bodies. */
export class SimpleListener extends HttpListener {
  readonly #buildAnswer: BuildAnswer;

  constructor(
    { name, log, maxConnections, buildAnswer }: SimpleListenerOptions,
  ) {
    const limits = maxConnections === undefined
      ? LIMITS
      : { ...LIMITS, maxConnections };
    super({ name, log, limits });
    this.#buildAnswer = buildAnswer;
  }

  static create(options: SimpleListenerOptions): SimpleListener {
    return new SimpleListener(options);
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://vm");
    const answer = await this.#buildAnswer(request.method ?? "GET", url);
    response.writeHead(answer.status, {
      ...answer.headers,
      "content-type": answer.type,
      "content-length": Buffer.byteLength(answer.body),
    });
    response.end(answer.body);
    request.resume();
  }
}

/** Builds a JSON answer. */
export function buildJsonAnswer(status: number, value: unknown): SimpleAnswer {
  return {
    status,
    type: "application/json",
    body: JSON.stringify(value),
  };
}
