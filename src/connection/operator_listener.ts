/**
 * HTTP listener for operators and monitoring.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { toError } from "../errors.ts";
import type { RequestId } from "../ids.ts";
import { toId } from "../ids.ts";
import type { Refusal, RefusalCode } from "../outcome.ts";
import { RefusalError } from "../outcome.ts";
import type { Clock } from "../process/clock.ts";
import type { Log } from "../process/log.ts";
import { HttpListener } from "./http_listener.ts";
import type { ServerLimits } from "./http_server.ts";
import { buildRefusal } from "./refusal_body.ts";
import { readRequestBody } from "./request_body.ts";
import { readBearerToken, SharedSecret } from "./shared_secret.ts";
import type { ServerTls } from "./tls_material.ts";

const MAX_BODY_BYTES = 65_536;
const REQUEST_STATUS_PREFIX = "/v1/requests/";
const JSON_TYPE = "application/json";
const METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
const UNAVAILABLE = 503;

const LIMITS: ServerLimits = {
  maxHeaderBytes: 8_192,
  maxConnections: 256,
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 5_000,
  keepAliveMs: 15_000,
  inactivityMs: 20_000,
};

/** The answer to a health or readiness check. */
export interface HealthAnswer {
  ok: boolean;
  /** The reason, as text. */
  detail: string;
}

/** The operators' calls; results are sent as JSON. */
export abstract class OperatorApi {
  /** `GET /v1/status`: this VM's view of the fleet. */
  abstract getStatus(): Promise<object>;
  /** `GET /v1/versions`: the configuration version of each VM. */
  abstract listVersions(): Promise<object>;
  /** `POST /v1/drain`: starts draining; resolves to the drain's state. */
  abstract startDrain(): Promise<object>;
  /** `GET /v1/requests/ID`: the request's status; undefined if unknown. */
  abstract findRequestStatus(requestId: RequestId): Promise<object | undefined>;
  /** `GET /v1/burn`: the data for the report on error-budget burn. */
  abstract collectBurn(query: URLSearchParams): Promise<object>;
  /** `GET /metrics`: metrics in the Prometheus text format. */
  abstract renderMetrics(): Promise<string>;
  /** `GET /healthz`: whether the process is working. */
  abstract checkHealth(): HealthAnswer;
  /** `GET /readyz`: whether this VM should receive callers' requests. */
  abstract checkReadiness(): HealthAnswer;
}

/** Options of `OperatorListener`. */
export interface OperatorListenerOptions {
  clock: Clock;
  log: Log;
  /** The operators' bearer token. */
  token: string;
  api: OperatorApi;
  tls?: ServerTls | undefined;
}

interface OperatorAnswer {
  status: number;
  type: string;
  body: string;
}

/** Serves `OperatorApi` over HTTP. */
export class OperatorListener extends HttpListener {
  readonly #options: OperatorListenerOptions;
  readonly #token: SharedSecret;

  constructor(options: OperatorListenerOptions) {
    const { log, tls } = options;
    super({ name: "operators", log, limits: LIMITS, tls });
    this.#options = options;
    this.#token = SharedSecret.create(options.token);
  }

  static create(options: OperatorListenerOptions): OperatorListener {
    return new OperatorListener(options);
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await readRequestBody(request, {
        clock: this.#options.clock,
        maxBodyBytes: MAX_BODY_BYTES,
        bodyTimeoutMs: LIMITS.bodyTimeoutMs,
      });
      const answer = await this.#answer(request);
      response.writeHead(answer.status, {
        "content-type": answer.type,
        "content-length": Buffer.byteLength(answer.body),
        "cache-control": "no-store",
      });
      response.end(answer.body);
    } catch (thrown) {
      const refusal = buildRefusal(this.#toRefusal(thrown), {
        requestId: undefined,
      });
      response.writeHead(refusal.status, refusal.headers);
      response.end(refusal.body);
    }
  }

  async #answer(request: IncomingMessage): Promise<OperatorAnswer> {
    const { api } = this.#options;
    const [path, query] = (request.url ?? "/").split("?", 2);
    const route = `${request.method} ${path}`;
    if (route === "GET /healthz") return toHealthAnswer(api.checkHealth());
    if (route === "GET /readyz") return toHealthAnswer(api.checkReadiness());
    this.#checkToken(request);
    switch (route) {
      case "GET /v1/status":
        return toJsonAnswer(await api.getStatus());
      case "GET /v1/versions":
        return toJsonAnswer(await api.listVersions());
      case "POST /v1/drain":
        return toJsonAnswer(await api.startDrain());
      case "GET /v1/burn":
        return toJsonAnswer(await api.collectBurn(new URLSearchParams(query)));
      case "GET /metrics": {
        const body = await api.renderMetrics();
        return { status: 200, type: METRICS_TYPE, body };
      }
    }
    if (request.method === "GET" && path?.startsWith(REQUEST_STATUS_PREFIX)) {
      return await this.#answerRequestStatus(
        path.slice(REQUEST_STATUS_PREFIX.length),
      );
    }
    throw createRefusal("not_found", "Unknown path or method");
  }

  async #answerRequestStatus(text: string): Promise<OperatorAnswer> {
    const status = await this.#options.api.findRequestStatus(
      toId<RequestId>(text),
    );
    if (status === undefined) {
      throw createRefusal("not_found", "Unknown request id");
    }
    return toJsonAnswer(status);
  }

  #checkToken(request: IncomingMessage): void {
    const token = readBearerToken(request.headers.authorization);
    if (this.#token.isEqualTo(token)) return;
    this.#options.log.warn("operator_refused", {
      peer: request.socket.remoteAddress,
    });
    throw createRefusal("unauthorized", "Operator token is missing or wrong");
  }

  #toRefusal(thrown: unknown): Refusal {
    if (thrown instanceof RefusalError) return thrown.refusal;
    const message = toError(thrown).message;
    this.#options.log.error("operator_call_failed", { error: message });
    return { code: "internal", message, outcome: "unknown" };
  }
}

function toJsonAnswer(value: object): OperatorAnswer {
  return { status: 200, type: JSON_TYPE, body: JSON.stringify(value) };
}

function toHealthAnswer(health: HealthAnswer): OperatorAnswer {
  return {
    status: health.ok ? 200 : UNAVAILABLE,
    type: JSON_TYPE,
    body: JSON.stringify(health),
  };
}

function createRefusal(code: RefusalCode, message: string): RefusalError {
  return new RefusalError({ code, message, outcome: "not_run" });
}
