/**
 * One call to an upstream, from the connection to the answer's head.
 *
 * @module
 */
import type { SocketAddress } from "./endpoint.ts";
import type { ClientRequest, IncomingMessage } from "node:http";
import http from "node:http";
import https from "node:https";
import { isIP, type Socket } from "node:net";
import type { Clock } from "../process/clock.ts";
import { AnswerBody } from "./answer_body.ts";
import { CallTimer } from "./call_timer.ts";
import { copyEndToEndHeaders } from "./headers.ts";
import type { ClientTls } from "./tls_material.ts";
import type {
  UpstreamAnswer,
  UpstreamCall,
  UpstreamErrorKind,
} from "./upstream_transport.ts";
import { UpstreamError } from "./upstream_transport.ts";

const BODILESS_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** What a call goes out on. */
export interface CallRoute {
  clock: Clock;
  endpoint: SocketAddress;
  agent: http.Agent;
  tls: ClientTls | undefined;
  /** Whether an answer may end with its connection. */
  allowsUndelimited: boolean;
  /** Called when a connection that was kept open gave no first byte. */
  onSilent: () => void;
}

/** Sends `call`; resolves at the answer's head, rejects `UpstreamError`. */
export function runUpstreamCall(
  call: UpstreamCall,
  route: CallRoute,
): Promise<UpstreamAnswer> {
  return new HttpCall(call, route).run();
}

class HttpCall {
  readonly #call: UpstreamCall;
  readonly #route: CallRoute;
  #request: ClientRequest | undefined;
  #watch: CallTimer | undefined;
  /** The first reason for which this side gave the call up. */
  #given: UpstreamErrorKind | undefined;
  #mayHaveRun = false;
  #isSent = false;
  #fail: (cause: Error) => void = () => {};
  #body: AnswerBody | undefined;
  readonly #onAbort = () => this.#cancel("aborted");

  constructor(call: UpstreamCall, route: CallRoute) {
    this.#call = call;
    this.#route = route;
  }

  run(): Promise<UpstreamAnswer> {
    if (this.#call.signal.aborted) {
      this.#given = "aborted";
      return Promise.reject(this.#createError(undefined));
    }
    return new Promise((resolve, reject) => {
      const request = this.#openRequest();
      this.#request = request;
      this.#call.signal.addEventListener("abort", this.#onAbort);
      this.#watch = CallTimer.create(this.#route.clock, this.#call.timeouts, {
        onTimeout: (kind) => this.#cancel(kind),
      });
      request.on("socket", () => this.#handleSocket());
      request.on("finish", () => this.#isSent = true);
      this.#fail = (cause) => {
        this.#body?.destroy(cause);
        this.#end();
        reject(this.#createError(cause));
      };
      request.on("error", this.#fail);
      request.on("response", (message) => {
        try {
          resolve(this.#readAnswer(message));
        } catch (thrown) {
          reject(thrown);
        }
      });
      request.end(this.#call.body);
    });
  }

  #openRequest(): ClientRequest {
    const { endpoint, agent, tls } = this.#route;
    const options: https.RequestOptions = {
      host: endpoint.address,
      port: endpoint.port,
      method: this.#call.method,
      path: this.#call.path,
      headers: this.#buildHeaders(),
      agent,
    };
    if (tls === undefined) return http.request(options);
    return https.request({ ...options, ...buildTlsOptions(tls, endpoint) });
  }

  #buildHeaders(): Record<string, string> {
    const headers = copyEndToEndHeaders(this.#call.headers);
    // The upstream's own address goes there, not the one the caller dialled.
    delete headers["host"];
    delete headers["expect"];
    if (this.#call.host !== undefined) headers["host"] = this.#call.host;
    const { body, method } = this.#call;
    // A length on a method that carries no body reads as one that is to come.
    if (body.length > 0 || !BODILESS_METHODS.has(method)) {
      headers["content-length"] = String(body.length);
    }
    return headers;
  }

  /**
   * Runs once the call has a connection that stands, right before the first
   * byte is written. From here on the request may have been read. On a kept
   * connection the other side may have closed it already: then a failed write
   * does not tell, either.
   */
  #handleSocket(): void {
    if (this.#call.canSend?.() === false) {
      this.#cancel("not_sent");
      return;
    }
    this.#mayHaveRun = true;
  }

  #readAnswer(message: IncomingMessage): UpstreamAnswer {
    const watch = this.#watch!;
    const endsWithConnection = !isDelimited(message, this.#call.method);
    if (endsWithConnection && !this.#route.allowsUndelimited) {
      this.#cancel("broken");
      throw this.#createError(
        new Error("Answer has neither a length nor chunks"),
      );
    }
    const body = AnswerBody.create(message, {
      watch,
      createError: (cause) => this.#createError(cause),
      onAbandoned: () => this.#request?.destroy(),
      onEnd: () => this.#end(),
    });
    this.#body = body;
    if (endsWithConnection) this.#watchReset(message.socket, body);
    return {
      status: message.statusCode ?? 0,
      headers: copyEndToEndHeaders(message.headers),
      body,
    };
  }

  /**
   * Tells a reset from an orderly end, which alone makes such an answer whole.
   *
   * Where the last bytes and a reset come together, libuv takes the hang-up
   * for an end without reading the error, and a caller would get a cut answer
   * as a whole one. A connection that was closed in order still has its other
   * side's address at that moment; one that was reset has none.
   */
  #watchReset(socket: Socket, body: AnswerBody): void {
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress !== undefined) return;
      body.destroy(new Error("Connection was reset"));
    });
  }

  #cancel(kind: UpstreamErrorKind): void {
    const request = this.#request;
    const isConnecting = request?.socket == null;
    const isTimeout = kind !== "aborted" && kind !== "not_sent";
    this.#given ??= isConnecting && isTimeout ? "connect" : kind;
    if (kind === "first_byte_timeout" && request?.reusedSocket) {
      this.#route.onSilent();
    }
    const cause = new Error(`Gave up: ${kind}`);
    request?.destroy(cause);
    // Without a socket Node keeps the error until there is one.
    if (isConnecting) this.#fail(cause);
  }

  #end(): void {
    this.#watch?.stop();
    this.#call.signal.removeEventListener("abort", this.#onAbort);
  }

  #createError(cause: Error | undefined): UpstreamError {
    const kind = this.#given ?? this.#getFailureKind();
    return new UpstreamError(
      {
        step: kind === "connect" ? "upstream_connect" : "upstream_call",
        peer: this.#call.upstream,
        ...(cause === undefined ? {} : { cause }),
      },
      {
        kind,
        mayHaveRun: this.#mayHaveRun,
        message: `Call to the upstream failed: ${kind}`,
      },
    );
  }

  #getFailureKind(): UpstreamErrorKind {
    if (!this.#mayHaveRun) return "connect";
    return this.#isSent ? "broken" : "write";
  }
}

/** Options that check the certificate of an IP address or of a name. */
export function buildTlsOptions(
  tls: ClientTls,
  endpoint: { address: string },
): { ca: string; servername: string } {
  const name = tls.serverName ?? endpoint.address;
  return { ca: tls.ca, servername: isIP(name) === 0 ? name : "" };
}

/**
 * Whether the end of an answer can be told from a broken connection. Without
 * a length or chunks a crash in the middle looks like the end.
 */
function isDelimited(message: IncomingMessage, method: string): boolean {
  const status = message.statusCode ?? 0;
  if (method === "HEAD" || status === 204 || status === 304) return true;
  return message.headers["content-length"] !== undefined ||
    message.headers["transfer-encoding"] !== undefined;
}
