/**
 * Loopback sockets that are closed after each test.
 *
 * @module
 */
import http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { onTestFinished } from "vitest";

export const LOOPBACK = "127.0.0.1";

/** A raw connection that collects the received text. */
export class RawClient {
  readonly socket: Socket;
  readonly #closed: Promise<void>;
  #received = "";

  constructor(socket: Socket) {
    this.socket = socket;
    socket.on("error", () => {});
    this.#closed = new Promise((resolve) =>
      socket.on("close", () => resolve())
    );
  }

  /** Connects to `port`; the connection is destroyed after the test. */
  static create(
    port: number,
    options: { isReading?: boolean } = {},
  ): RawClient {
    const socket = connect(port, LOOPBACK);
    onTestFinished(() => void socket.destroy());
    const client = new RawClient(socket);
    if (options.isReading ?? true) {
      socket.on("data", (chunk) => client.#received += chunk);
    }
    return client;
  }

  get received(): string {
    return this.#received;
  }

  /** Resolves once the other side has closed the connection. */
  waitClosed(): Promise<void> {
    return this.#closed;
  }

  /** Resolves once `text` has been received. */
  async waitFor(text: string): Promise<void> {
    await waitUntil(() => this.#received.includes(text));
  }
}

/** Resolves once `isMet`; otherwise the test's time-out ends the wait. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  while (!isMet()) await new Promise((resolve) => setTimeout(resolve, 2));
}

/** Starts an HTTP server on loopback that is closed after the test. */
export async function startServer(
  listener: http.RequestListener,
): Promise<{ server: http.Server; port: number }> {
  const server = http.createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return { server, port: (server.address() as AddressInfo).port };
}

/** A port of loopback on which nothing listens. */
export async function findClosedPort(): Promise<number> {
  const server = http.createServer();
  await new Promise<void>((resolve) => server.listen(0, LOOPBACK, resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
