/**
 * The listener for operators and their monitoring.
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
const FATE_PREFIX = "/v1/requests/";
const JSON_TYPE = "application/json";
const METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8";
const UNAVAILABLE = 503;

const LIMITS: ServerLimits = {
  maxHeaderBytes: 8_192,
  maxConnections: 256,
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 5_000,
  keepAliveMs: 15_000,
};

/** The answer to a check by a supervisor or a monitor. */
export interface HealthAnswer {
  ok: boolean;
  /** Why, in plain words. */
  detail: string;
}

/** What operators may ask of a VM. Answers are plain data for JSON. */
export abstract class OperatorApi {
  /** `GET /v1/status`: the fleet as this VM sees it. */
  abstract getStatus(): Promise<object>;
  /** `GET /v1/versions`: which VM has which configuration. */
  abstract listVersions(): Promise<object>;
  /** `POST /v1/drain`: begins the drain and gives its state. */
  abstract startDrain(): Promise<object>;
  /** `GET /v1/requests/ID`: undefined where nothing is known of the id. */
  abstract findRequestStatus(requestId: RequestId): Promise<object | undefined>;
  /** `GET /v1/burn`: the figures for the report on service-level burn. */
  abstract collectBurn(query: URLSearchParams): Promise<object>;
  /** `GET /metrics`: the Prometheus text format. */
  abstract renderMetrics(): Promise<string>;
  /** `GET /healthz`: whether the process works at all. */
  abstract checkHealth(): HealthAnswer;
  /** `GET /readyz`: whether callers should come here now. */
  abstract checkReadiness(): HealthAnswer;
}

/** What a listener for operators is made of. */
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

/** Answers operators. */
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
    if (request.method === "GET" && path?.startsWith(FATE_PREFIX)) {
      return await this.#answerFate(path.slice(FATE_PREFIX.length));
    }
    throw createRefusal("not_found", "No such call");
  }

  async #answerFate(text: string): Promise<OperatorAnswer> {
    const fate = await this.#options.api.findRequestStatus(
      toId<RequestId>(text),
    );
    if (fate === undefined) {
      throw createRefusal("not_found", "Nothing is known of this request id");
    }
    return toJsonAnswer(fate);
  }

  #checkToken(request: IncomingMessage): void {
    const token = readBearerToken(request.headers.authorization);
    if (this.#token.isEqualTo(token)) return;
    this.#options.log.warn("operator_refused", {
      peer: request.socket.remoteAddress,
    });
    throw createRefusal("unauthorized", "Operator token is needed");
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
