/**
 * An HTTP server on the loopback address with answers defined by the test.
 *
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";

/** Handler of one request. */
export type Answer = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** A fake VM that records requests and returns prepared answers. */
export class FakeVm {
  readonly #server: Server;
  /** Method, path and authorization header of each request. */
  readonly calls: string[] = [];

  constructor(answer: Answer) {
    this.#server = createServer((request, response) => {
      const { method, url, headers } = request;
      this.calls.push(`${method} ${url} ${headers.authorization ?? "none"}`);
      request.resume();
      answer(request, response);
    });
  }

  static async start(answer: Answer): Promise<FakeVm> {
    const vm = new FakeVm(answer);
    await new Promise<void>((resolve) => {
      vm.#server.listen(0, "127.0.0.1", resolve);
    });
    return vm;
  }

  /** Starts a VM with fixed answers by path; other paths get 404. */
  static startFixed(answers: Record<string, unknown>): Promise<FakeVm> {
    return FakeVm.start((request, response) => {
      const path = (request.url ?? "").split("?")[0]!;
      sendJson(response, path in answers ? 200 : 404, answers[path] ?? {});
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  get url(): string {
    return `http://127.0.0.1:${this.port}`;
  }

  async stop(): Promise<void> {
    this.#server.closeAllConnections();
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }
}

/** Sends a value as a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
