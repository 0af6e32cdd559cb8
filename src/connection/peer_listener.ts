/**
 * HTTP listener for other entry VMs.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Clock, SystemClock } from "../process/clock.ts";
import type { Log } from "../process/log.ts";
import type { PeerApi } from "../process/peer_api.ts";
import { HttpListener } from "./http_listener.ts";
import type { ServerLimits } from "./http_server.ts";
import { answerPeerCall, isPeerProcedure } from "./peer_answer.ts";
import { readRequestBody } from "./request_body.ts";
import { SharedSecret } from "./shared_secret.ts";
import type { ServerTls } from "./tls_material.ts";

/** The header that carries the fleet's shared secret. */
export const PEER_SECRET_HEADER = "x-peer-secret";

const MAX_CALL_BYTES = 33_554_432;
const UNAUTHORIZED = 401;
const NOT_FOUND = 404;
/** Longer than the client's idle timeout, so that the client closes first. */
const KEEP_ALIVE_TIMEOUT_MS = 60_000;

const LIMITS: ServerLimits = {
  maxHeaderBytes: 8_192,
  maxConnections: 10_000,
  headersTimeoutMs: 5_000,
  bodyTimeoutMs: 10_000,
  keepAliveMs: KEEP_ALIVE_TIMEOUT_MS,
};

/** Options of `PeerListener`. */
export interface PeerListenerOptions {
  /** `SystemClock` by default. */
  clock?: Clock;
  /** The fleet's shared secret. */
  secret: string;
  api: PeerApi;
  log: Log;
  tls?: ServerTls | undefined;
}

/** Serves `PeerApi` to other entry VMs that present the shared secret. */
export class PeerListener extends HttpListener {
  readonly #options: PeerListenerOptions;
  readonly #clock: Clock;
  readonly #secret: SharedSecret;

  constructor(options: PeerListenerOptions) {
    const { log, tls } = options;
    super({ name: "peers", log, limits: LIMITS, tls });
    this.#options = options;
    this.#clock = options.clock ?? SystemClock.create();
    this.#secret = SharedSecret.create(options.secret);
  }

  static create(options: PeerListenerOptions): PeerListener {
    return new PeerListener(options);
  }

  protected override async handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const secret = request.headers[PEER_SECRET_HEADER];
    if (!this.#secret.isEqualTo(String(secret ?? ""))) {
      this.#options.log.warn("peer_refused", {
        peer: request.socket.remoteAddress,
      });
      response.writeHead(UNAUTHORIZED, { connection: "close" }).end();
      return;
    }
    const path = parseProcedure(request.url ?? "/");
    if (request.method !== "POST" || !isPeerProcedure(path)) {
      response.writeHead(NOT_FOUND).end();
      return;
    }
    const body = await readRequestBody(request, {
      clock: this.#clock,
      maxBodyBytes: MAX_CALL_BYTES,
      bodyTimeoutMs: LIMITS.bodyTimeoutMs,
    });
    const { api } = this.#options;
    const answer = await answerPeerCall(path, body, { api });
    if (answer.error !== undefined) {
      this.#options.log.warn("peer_call_failed", {
        step: path,
        peer: request.socket.remoteAddress,
        error: answer.error.message,
      });
    }
    response.writeHead(answer.status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(answer.text),
    });
    response.end(answer.text);
  }
}

function parseProcedure(url: string): string {
  const queryStart = url.indexOf("?");
  return queryStart < 0 ? url.slice(1) : url.slice(1, queryStart);
}
