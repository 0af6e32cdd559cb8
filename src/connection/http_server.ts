/**
 * HTTP server with connection limits, reloadable TLS and graceful shutdown.
 *
 * @module
 */
import http from "node:http";
import https from "node:https";
import type { AddressInfo, Socket } from "node:net";
import { StepError, toError } from "../errors.ts";
import type { Log } from "../process/log.ts";
import {
  buildClientError,
  findHeadRefusal,
  formatAnswer,
} from "./bad_request.ts";
import { ConnectionTable } from "./connection_table.ts";
import { PendingBudget } from "./pending_budget.ts";
import { ServerConnection } from "./server_connection.ts";
import type { ServerTls } from "./tls_material.ts";

const MAX_TIMEOUT_CHECK_INTERVAL_MS = 1_000;
const REQUEST_TIMEOUT_MARGIN_MS = 1_000;

/** Limits on connections. */
export interface ServerLimits {
  maxHeaderBytes: number;
  maxConnections: number;
  /** From the connection, or a later request's first byte, to the head's end. */
  headersTimeoutMs: number;
  /** From the end of the head to the last byte of the body. */
  bodyTimeoutMs: number;
  /** Timeout of idle connections. */
  keepAliveMs: number;
  /**
   * Time without a byte in either direction during a request; no limit if it is
   * left out.
   */
  inactivityMs?: number;
}

/** Handles a request; a rejection is logged and closes the connection. */
export type HandleExchange = (
  request: http.IncomingMessage,
  response: http.ServerResponse,
) => Promise<void>;

/** Options of `HttpServer`. */
export interface HttpServerOptions {
  /** The listener's name in logs and errors. */
  name: string;
  log: Log;
  limits: ServerLimits;
  tls?: ServerTls | undefined;
  handle: HandleExchange;
  /** Builds extra headers of answers to requests that cannot be parsed. */
  buildHeaders?: () => Record<string, string>;
}

/** A listening socket with its connections. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: http.Server;
  readonly #open = ConnectionTable.create();
  readonly #budget = PendingBudget.create();
  #isStopping = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = createServer(options);
    this.#server.on("connection", (socket) => this.#addSocket(socket));
    const isTls = options.tls !== undefined;
    this.#server.on(isTls ? "secureConnection" : "connection", (socket) => {
      const connection = ServerConnection.create(socket, this.#budget);
      this.#open.setConnection(getRawSocket(socket), connection);
    });
    const runExchange = (
      request: http.IncomingMessage,
      response: http.ServerResponse,
    ) => void this.#runExchange(request, response);
    this.#server.on("request", runExchange);
    // Without a listener, Node answers it, however many come.
    this.#server.on("checkExpectation", runExchange);
    this.#server.on("clientError", (error: Error, socket: Socket) => {
      this.#handleClientError(error, socket);
    });
  }

  static create(options: HttpServerOptions): HttpServer {
    return new HttpServer(options);
  }

  /** The listening port; 0 before `start`. */
  get port(): number {
    return (this.#server.address() as AddressInfo | null)?.port ?? 0;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#open.size;
  }

  /** Resolves once connections are accepted; rejects with `StepError`. */
  start(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      const onError = (cause: Error) => {
        const peer = `${host}:${port}`;
        reject(
          new StepError(
            { step: `${this.#options.name}_listen`, peer, cause },
            "Cannot listen",
          ),
        );
      };
      this.#server.once("error", onError);
      this.#server.listen({ host, port }, () => {
        this.#server.off("error", onError);
        this.#server.on("error", (error) => this.#noteServerError(error));
        resolve();
      });
    });
  }

  /** Stops accepting; resolves when the last request in flight has ended. */
  stop(): Promise<void> {
    this.#isStopping = true;
    // Node's `close` calls this, and takes a connection for idle once its answer
    // has been ended, though not all of it may have been written.
    this.#server.closeIdleConnections = () => {};
    return new Promise((resolve) => {
      this.#server.close(() => resolve());
      this.#closeIdle();
    });
  }

  /** Closes all connections at once. */
  closeAll(): void {
    for (const socket of this.#open.listSockets()) socket.destroy();
  }

  /** Uses `tls` for new connections; open ones are not affected. */
  updateTls(tls: ServerTls): void {
    if (!(this.#server instanceof https.Server)) {
      throw new StepError(
        { step: "update_tls", peer: this.#options.name },
        "Listener was started without TLS",
      );
    }
    this.#server.setSecureContext(tls);
  }

  /** Applies the timeouts of `limits` to later connections and requests. */
  updateTimeouts(limits: ServerLimits): void {
    this.#server.headersTimeout = limits.headersTimeoutMs;
    this.#server.requestTimeout = computeRequestTimeout(limits);
    this.#server.keepAliveTimeout = limits.keepAliveMs;
  }

  #addSocket(socket: Socket): void {
    const { log, name, limits } = this.#options;
    const isFull = this.#open.size >= limits.maxConnections;
    if (isFull && !this.#open.closeIdle()) {
      log.warn("connection_dropped", { listener: name });
      socket.destroy();
      return;
    }
    this.#open.add(socket);
    // Each request that is pipelined on it listens for its end.
    socket.setMaxListeners(0);
  }

  async #runExchange(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const connection = this.#open.get(getRawSocket(request.socket));
    if (!connection?.takeRequest(request, response)) return;
    if (this.#isStopping) response.shouldKeepAlive = false;
    response.once("close", () => {
      this.#open.noteAnswered(getRawSocket(request.socket));
      if (this.#isStopping) this.#closeIdle();
    });
    const refusal = findHeadRefusal(request);
    if (refusal !== undefined) {
      response.writeHead(refusal.status, refusal.headers).end(refusal.body);
      return;
    }
    try {
      await this.#options.handle(request, response);
    } catch (thrown) {
      this.#options.log.error("exchange_failed", {
        listener: this.#options.name,
        error: toError(thrown).message,
      });
      response.destroy();
    }
  }

  /**
   * Closes connections without a request in flight. Node's `close` skips a
   * connection with a partial head and stops checking head timeouts, so that
   * such a caller would keep the process from exiting.
   */
  #closeIdle(): void {
    for (const socket of this.#open.listIdle()) socket.destroySoon();
  }

  #handleClientError(error: Error, socket: Socket): void {
    const code = (error as NodeJS.ErrnoException).code ?? "unknown";
    this.#options.log.info("bad_connection", {
      listener: this.#options.name,
      cause: code,
    });
    const isBusy = (this.#open.get(getRawSocket(socket))?.inFlight ?? 0) > 0;
    // During an answer, the caller would read bytes written here as part of its
    // body.
    if (isBusy || !socket.writable) {
      socket.destroy();
      return;
    }
    const headers = this.#options.buildHeaders?.() ?? {};
    socket.end(formatAnswer(buildClientError(code, headers)));
  }

  #noteServerError(error: Error): void {
    this.#options.log.error("listener_failed", {
      listener: this.#options.name,
      error: error.message,
    });
  }
}

function createServer(options: HttpServerOptions): http.Server {
  const { limits } = options;
  const server = createNodeServer(options);
  server.timeout = limits.inactivityMs ?? 0;
  return server;
}

function createNodeServer(options: HttpServerOptions): http.Server {
  const { limits } = options;
  const settings: http.ServerOptions = {
    maxHeaderSize: limits.maxHeaderBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: computeRequestTimeout(limits),
    keepAliveTimeout: limits.keepAliveMs,
    // Node's own answer is not counted as one of the connection.
    requireHostHeader: false,
    connectionsCheckingInterval: Math.min(
      MAX_TIMEOUT_CHECK_INTERVAL_MS,
      Math.ceil(limits.headersTimeoutMs / 2),
    ),
  };
  if (options.tls === undefined) return http.createServer(settings);
  const handshakeTimeout = limits.headersTimeoutMs;
  return https.createServer({ ...settings, ...options.tls, handshakeTimeout });
}

function computeRequestTimeout(limits: ServerLimits): number {
  return limits.headersTimeoutMs + limits.bodyTimeoutMs +
    REQUEST_TIMEOUT_MARGIN_MS;
}

/** Returns the TCP socket of a TLS socket, as in the `connection` event. */
function getRawSocket(socket: Socket): Socket {
  return (socket as Socket & { _parent?: Socket })._parent ?? socket;
}
