/**
 * Base class of the HTTP stand-ins: listens, reads calls and stops.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { toError } from "../src/errors.ts";

const LOOPBACK = "127.0.0.1";
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** One call with its complete body. */
export interface StandInCall {
  method: string;
  /** Path and query. */
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
}

/** An HTTP server on loopback. */
export abstract class HttpStandIn {
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #port = 0;

  /** Serves one call; an error that it throws is answered with status 500. */
  protected abstract handleCall(
    call: StandInCall,
    response: ServerResponse,
  ): void | Promise<void>;

  /** The port in use; 0 before `start`. */
  get port(): number {
    return this.#port;
  }

  /** Listens on `port`, or on a free port for 0; resolves to the port. */
  async start(port = 0): Promise<number> {
    const server = createServer((request, response) => {
      void this.#answerCall(request, response);
    });
    server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, LOOPBACK, resolve);
    });
    this.#server = server;
    this.#port = (server.address() as AddressInfo).port;
    return this.#port;
  }

  /** Closes all connections and releases the port. */
  async stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server === undefined) return;
    const closed = new Promise<void>((resolve) => {
      server.close(() => resolve());
    });
    this.destroyConnections();
    await closed;
  }

  /** Destroys all open connections; new ones are still served. */
  destroyConnections(): void {
    for (const socket of this.#sockets) socket.destroy();
  }

  async #answerCall(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      const body = await readBody(request);
      const call: StandInCall = {
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers: toHeaders(request),
        body,
      };
      await this.handleCall(call, response);
    } catch (thrown) {
      if (response.headersSent || response.destroyed) {
        response.destroy();
      } else {
        sendJson(response, { status: 500, body: toError(thrown).message });
      }
    }
  }
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  options: { status: number; body: unknown; headers?: Record<string, string> },
): void {
  const text = JSON.stringify(options.body);
  response.writeHead(options.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
    ...options.headers,
  });
  response.end(text);
}

/** Parses a JSON body; an empty body yields an empty object. */
export function readJsonBody(call: StandInCall): unknown {
  const text = new TextDecoder().decode(call.body);
  return text === "" ? {} : JSON.parse(text);
}

async function readBody(request: IncomingMessage): Promise<Uint8Array> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > MAX_BODY_BYTES) {
      throw new Error("Request body exceeds the size limit");
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}

function toHeaders(request: IncomingMessage): Record<string, string> {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(request.headers)) {
    if (value !== undefined) headers[name] = String(value);
  }
  return headers;
}
