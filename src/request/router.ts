/**
 * Routes callers' requests to their handlers.
 *
 * @module
 */
import { match } from "ts-pattern";
import { writeRefusal } from "../connection/refusal_body.ts";
import { toError } from "../errors.ts";
import { type RequestId, toId } from "../ids.ts";
import { type Refusal, RefusalError } from "../outcome.ts";
import { ID_TTL_MS } from "../process/execution_claims.ts";
import type { Snapshot } from "../version/records.ts";
import { checkCaller } from "./authenticate.ts";
import {
  CallerHandler,
  type CallerRequest,
  REQUEST_ID_HEADER,
} from "./caller_request.ts";
import type { CallerSink } from "./caller_sink.ts";
import { runCompletion } from "./completion_task.ts";
import { buildStatusPage } from "./request_status_page.ts";
import { withProvableOutcome } from "./refusal_outcome.ts";
import type { RequestServices } from "./request_services.ts";
import { parseRoute, type Route } from "./routes.ts";
import { runService } from "./service_task.ts";

const OK = 200;
const CREATED = 201;
const NOT_READY_RETRY_MS = 1_000;

/** Handles callers' completions, service calls, and queries about requests. */
export class RequestRouter extends CallerHandler {
  readonly #services: RequestServices;

  constructor(services: RequestServices) {
    super();
    this.#services = services;
  }

  static create(services: RequestServices): RequestRouter {
    return new RequestRouter(services);
  }

  override async handle(
    request: CallerRequest,
    sink: CallerSink,
  ): Promise<void> {
    try {
      const route = parseRoute(request.method, request.path);
      await this.#runRoute(route, { request, sink });
    } catch (thrown) {
      const refusal = this.#toRefusal(request, thrown);
      const requestId = this.#findRequestId(request);
      await writeRefusal(sink, refusal, { requestId });
    }
  }

  async #runRoute(
    route: Route,
    exchange: { request: CallerRequest; sink: CallerSink },
  ): Promise<void> {
    const { request, sink } = exchange;
    await match(route)
      .with({ kind: "entries" }, () => {
        const query = new URLSearchParams(request.query);
        return this.#writeJson(sink, OK, this.#services.entries(query));
      })
      .with({ kind: "models" }, () => this.#writeModels(exchange))
      .with({ kind: "issue_id" }, () => this.#writeNewId(exchange))
      .with({ kind: "request_status" }, ({ requestId }) => {
        return this.#writeStatus(requestId, exchange);
      })
      .with({ kind: "completion" }, () => {
        const snapshot = this.#getSnapshot();
        return runCompletion(this.#services, { ...exchange, snapshot });
      })
      .with({ kind: "service" }, (target) => {
        const snapshot = this.#getSnapshot();
        return runService(this.#services, { ...exchange, snapshot }, target);
      })
      .with({ kind: "none" }, () => {
        throw new RefusalError({
          code: "not_found",
          message: `No such endpoint: ${request.method} ${request.path}`,
          outcome: "not_run",
        });
      })
      .exhaustive();
  }

  /** The active configuration, which the request uses to its end. */
  #getSnapshot(): Snapshot {
    const snapshot = this.#services.getSnapshot();
    if (snapshot !== undefined) return snapshot;
    throw new RefusalError({
      code: "not_ready",
      message: "This VM has no configuration yet",
      outcome: "not_run",
      retryAfterMs: NOT_READY_RETRY_MS,
    });
  }

  async #writeModels(
    { request, sink }: { request: CallerRequest; sink: CallerSink },
  ): Promise<void> {
    const snapshot = this.#getSnapshot();
    checkCaller(snapshot, request.headers);
    const data = [...snapshot.poolsByModel].map(([model, pools]) => ({
      id: model,
      object: "model",
      created: 0,
      owned_by: pools[0]?.name,
    }));
    await this.#writeJson(sink, OK, { object: "list", data });
  }

  async #writeNewId(
    { request, sink }: { request: CallerRequest; sink: CallerSink },
  ): Promise<void> {
    checkCaller(this.#getSnapshot(), request.headers);
    const requestId = this.#services.claims.issueId();
    await this.#writeJson(sink, CREATED, {
      request_id: requestId,
      valid_for_ms: ID_TTL_MS,
    });
  }

  async #writeStatus(
    requestId: RequestId,
    { request, sink }: { request: CallerRequest; sink: CallerSink },
  ): Promise<void> {
    const workspace = checkCaller(this.#getSnapshot(), request.headers);
    const page = await buildStatusPage(this.#services, requestId, workspace);
    await this.#writeJson(sink, OK, page);
  }

  /** Writes a JSON answer of the router itself, under a new request id. */
  async #writeJson(
    sink: CallerSink,
    status: number,
    value: unknown,
  ): Promise<void> {
    const body = Buffer.from(JSON.stringify(value));
    sink.writeHead(status, {
      "content-type": "application/json",
      "content-length": String(body.length),
      [REQUEST_ID_HEADER]: this.#services.claims.issueSingleUseId(),
    });
    await sink.write(body);
    await sink.end();
  }

  /** The request id of a refusal: the caller's, else a new one. */
  #findRequestId(request: CallerRequest): RequestId {
    const given = request.headers[REQUEST_ID_HEADER];
    if (given !== undefined) return toId<RequestId>(given);
    return this.#services.claims.issueSingleUseId();
  }

  #toRefusal(request: CallerRequest, thrown: unknown): Refusal {
    const { log } = this.#services.environment;
    if (thrown instanceof RefusalError) {
      const refusal = withProvableOutcome(
        thrown.refusal,
        request.headers[REQUEST_ID_HEADER],
      );
      const { code, outcome, message } = refusal;
      log.info("request_refused", {
        request_id: request.headers[REQUEST_ID_HEADER],
        path: request.path,
        code,
        outcome,
        detail: message,
      });
      return refusal;
    }
    const error = toError(thrown);
    log.error("request_failed", { error: error.stack ?? error.message });
    return {
      code: "internal",
      message: "Internal error in the router",
      outcome: "unknown",
    };
  }
}
