/**
 * Base class of this VM's HTTP listeners.
 *
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type Endpoint, parseEndpoint } from "./endpoint.ts";
import {
  HttpServer,
  type HttpServerOptions,
  type ServerLimits,
} from "./http_server.ts";
import type { ServerTls } from "./tls_material.ts";

/** A listening socket; subclasses handle its requests. */
export abstract class HttpListener {
  readonly #server: HttpServer;

  constructor(options: Omit<HttpServerOptions, "handle">) {
    this.#server = HttpServer.create({
      ...options,
      handle: (request, response) => this.handle(request, response),
    });
  }

  /** The listening port; 0 before `start`. */
  get port(): number {
    return this.#server.port;
  }

  /** Number of open connections. */
  get connections(): number {
    return this.#server.connections;
  }

  /** Resolves once connections are accepted; rejects with `StepError`. */
  start(host: string, port: number): Promise<void> {
    return this.#server.start(host, port);
  }

  /** Same as `start`, for an endpoint `ADDRESS:PORT`. */
  startAt(endpoint: Endpoint): Promise<void> {
    const { address, port } = parseEndpoint(endpoint);
    return this.start(address, port);
  }

  /**
   * Stops accepting connections, closes idle ones, and resolves when the last
   * request in flight is answered. There is no timeout: call `closeAll` to cancel the remaining requests.
   */
  stop(): Promise<void> {
    return this.#server.stop();
  }

  /** Closes all connections at once, which cancels requests in flight. */
  closeAll(): void {
    this.#server.closeAll();
  }

  /** Applies the timeouts of `limits` to later connections and requests. */
  protected updateTimeouts(limits: ServerLimits): void {
    this.#server.updateTimeouts(limits);
  }

  /** Uses `tls` for new connections. */
  updateTls(tls: ServerTls): void {
    this.#server.updateTls(tls);
  }

  /** Handles a request; a rejection is logged and closes the connection. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;
}
