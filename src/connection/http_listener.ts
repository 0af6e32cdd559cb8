/**
 * What a listener of this VM offers to the process, whoever it listens for.
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

/** A listening socket whose exchanges a subclass answers. */
export abstract class HttpListener {
  readonly #server: HttpServer;

  constructor(options: Omit<HttpServerOptions, "handle">) {
    this.#server = HttpServer.create({
      ...options,
      handle: (request, response) => this.handle(request, response),
    });
  }

  /** The port that is listened on; 0 before `start`. */
  get port(): number {
    return this.#server.port;
  }

  /** Open connections. */
  get connections(): number {
    return this.#server.connections;
  }

  /** Resolves once connections are accepted; rejects `StepError`. */
  start(host: string, port: number): Promise<void> {
    return this.#server.start(host, port);
  }

  /** As `start`, at `ADDRESS:PORT`. */
  startAt(endpoint: Endpoint): Promise<void> {
    const { address, port } = parseEndpoint(endpoint);
    return this.start(address, port);
  }

  /**
   * Accepts no more connections, closes idle ones, and resolves when the last
   * request in flight has been answered. Bound it by `closeAll`.
   */
  stop(): Promise<void> {
    return this.#server.stop();
  }

  /** Cuts every connection at once; requests in flight are cancelled. */
  closeAll(): void {
    this.#server.closeAll();
  }

  /** Uses the times of `limits` for connections and requests from now on. */
  protected updateTimes(limits: ServerLimits): void {
    this.#server.updateTimes(limits);
  }

  /** Shows `tls` to those who connect from now on. */
  updateTls(tls: ServerTls): void {
    this.#server.updateTls(tls);
  }

  /** Answers one request; a rejection is logged and cuts the connection. */
  protected abstract handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void>;
}
