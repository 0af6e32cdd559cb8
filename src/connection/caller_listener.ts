/**
 * HTTP listener for callers.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { toError } from "../errors.ts";
import { type RequestId, toId } from "../ids.ts";
import type { Refusal } from "../outcome.ts";
import { RefusalError } from "../outcome.ts";
import type { Clock } from "../process/clock.ts";
import type { Log } from "../process/log.ts";
import type {
  CallerHandler,
  CallerRequest,
} from "../request/caller_request.ts";
import { REQUEST_ID_HEADER } from "../request/caller_request.ts";
import { withProvableOutcome } from "../request/refusal_outcome.ts";
import type { BodyBudget } from "./body_budget.ts";
import { HttpListener } from "./http_listener.ts";
import type { ServerLimits } from "./http_server.ts";
import { HttpSink } from "./http_sink.ts";
import { writeRefusal } from "./refusal_body.ts";
import { readRequestBody, SlowBodyError } from "./request_body.ts";
import type { ServerTls } from "./tls_material.ts";

const SLOW_BODY_STATUS = 408;

/** Limits on callers. */
export interface CallerLimits extends ServerLimits {
  maxBodyBytes: number;
  /** A caller that has not read the pending bytes by then is disconnected. */
  writeTimeoutMs: number;
}

/** Limits that apply unless the settings override them. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 8_388_608,
  maxConnections: 10_000,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 30_000,
  keepAliveMs: 30_000,
  writeTimeoutMs: 30_000,
};

/** Options of `CallerListener`. */
export interface CallerListenerOptions {
  clock: Clock;
  log: Log;
  limits: CallerLimits;
  tls?: ServerTls | undefined;
  handler: CallerHandler;
  /** Bound on the bodies in reading; none if it is left out. */
  bodies?: BodyBudget;
  /** Issues an id for a request that is refused before the handler runs. */
  issueId?: () => RequestId;
}

/** Accepts callers and passes their requests to a `CallerHandler`. */
export class CallerListener extends HttpListener {
  readonly #options: CallerListenerOptions;
  #limits: CallerLimits;

  constructor(options: CallerListenerOptions) {
    const { log, limits, tls, issueId } = options;
    const buildHeaders = () => buildIdHeader(issueId?.());
    super({ name: "callers", log, limits, tls, buildHeaders });
    this.#options = options;
    this.#limits = limits;
  }

  static create(options: CallerListenerOptions): CallerListener {
    return new CallerListener(options);
  }

  /**
   * Applies `limits` to later requests, but for the limits on header size and
   * number of connections, which stay as they were at the start.
   */
  updateLimits(limits: CallerLimits): void {
    this.#limits = limits;
    this.updateTimeouts(limits);
  }

  protected override async handle(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { clock, log, handler } = this.#options;
    const limits = this.#limits;
    const arrivedAt = clock.now();
    const sink = HttpSink.create(response, {
      clock,
      writeTimeoutMs: limits.writeTimeoutMs,
      onWriteTimeout: () =>
        log.warn("caller_stalled", { peer: getPeer(incoming) }),
    });
    let isHandled = false;
    try {
      checkVersion(incoming);
      const body = await readRequestBody(incoming, {
        clock,
        budget: this.#options.bodies,
        ...limits,
      });
      const request = toCallerRequest(incoming, { body, arrivedAt });
      isHandled = true;
      await handler.handle(request, sink);
      const hasCaller = !sink.signal.aborted;
      if (!sink.isClosed && hasCaller) {
        throw new Error("Handler left its answer open");
      }
    } catch (thrown) {
      await this.#refuse(thrown, { incoming, sink, isHandled });
    }
  }

  async #refuse(
    thrown: unknown,
    exchange: {
      incoming: IncomingMessage;
      sink: HttpSink;
      isHandled: boolean;
    },
  ): Promise<void> {
    const callerRequestId =
      toSingleHeaders(exchange.incoming)[REQUEST_ID_HEADER];
    const refusal = withProvableOutcome(
      this.#toRefusal(thrown, exchange.isHandled),
      callerRequestId,
    );
    const options = {
      requestId: callerRequestId === undefined
        ? this.#options.issueId?.()
        : toId<RequestId>(callerRequestId),
      ...(thrown instanceof SlowBodyError
        ? { status: SLOW_BODY_STATUS, headers: { connection: "close" } }
        : {}),
    };
    await writeRefusal(exchange.sink, refusal, options);
  }

  #toRefusal(thrown: unknown, isHandled: boolean): Refusal {
    if (thrown instanceof RefusalError) return thrown.refusal;
    this.#options.log.error("handler_failed", {
      error: toError(thrown).message,
    });
    return {
      code: "internal",
      message: "Internal error",
      outcome: isHandled ? "unknown" : "not_run",
    };
  }
}

/**
 * Requires HTTP/1.1. Answers to HTTP/1.0 are delimited by the close of the
 * connection, so that a caller could not tell a truncated answer from a complete
 * one.
 */
function checkVersion(incoming: IncomingMessage): void {
  if (incoming.httpVersionMajor === 1 && incoming.httpVersionMinor === 1) {
    return;
  }
  throw new RefusalError({
    code: "bad_request",
    message: "HTTP/1.1 is required",
    outcome: "not_run",
  });
}

function toCallerRequest(
  incoming: IncomingMessage,
  read: { body: Uint8Array; arrivedAt: number },
): CallerRequest {
  const url = incoming.url ?? "/";
  const queryStart = url.indexOf("?");
  return {
    method: incoming.method ?? "GET",
    path: queryStart < 0 ? url : url.slice(0, queryStart),
    query: queryStart < 0 ? "" : url.slice(queryStart + 1),
    hasEmptyQuery: queryStart === url.length - 1,
    headers: toSingleHeaders(incoming),
    body: read.body,
    remoteAddress: getPeer(incoming),
    arrivedAt: read.arrivedAt,
  };
}

function buildIdHeader(id: RequestId | undefined): Record<string, string> {
  return id === undefined ? {} : { [REQUEST_ID_HEADER]: id };
}

function toSingleHeaders(incoming: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = Object.create(null);
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return headers;
}

function getPeer(incoming: IncomingMessage): string {
  return incoming.socket.remoteAddress ?? "";
}
