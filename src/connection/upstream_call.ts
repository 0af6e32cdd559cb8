/**
 * One call to an upstream, from the connection to the answer's head.
 *
 * @module
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import http from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import { isIP } from "node:net";
import type { CancelTimer, Clock } from "../process/clock.ts";
import { AnswerBody } from "./answer_body.ts";
import { CallWatch } from "./call_watch.ts";
import { copyEndToEndHeaders } from "./headers.ts";
import type { ClientTls } from "./tls_material.ts";
import type {
  UpstreamAnswer,
  UpstreamCall,
  UpstreamErrorKind,
} from "./upstream_transport.ts";
import { UpstreamError } from "./upstream_transport.ts";

const CONNECT_LIMIT_MS = 1_000;

/** What a call goes out on. */
export interface CallRoute {
  clock: Clock;
  endpoint: { address: string; port: number };
  /** Undefined for a new connection that is closed after the call. */
  agent: http.Agent | undefined;
  tls: ClientTls | undefined;
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
  #watch: CallWatch | undefined;
  #cancelConnectTimer: CancelTimer | undefined;
  /** The first reason for which this side gave the call up. */
  #given: UpstreamErrorKind | undefined;
  #mayHaveRun = false;
  #isSent = false;
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
      this.#watch = CallWatch.create(this.#route.clock, this.#call.limits, {
        onPassed: (kind) => this.#cancel(kind),
      });
      request.on("socket", (socket) => this.#noteSocket(socket));
      request.on("finish", () => this.#isSent = true);
      request.on("error", (cause) => {
        this.#end();
        reject(this.#createError(cause));
      });
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
      agent: agent ?? false,
    };
    if (tls === undefined) return http.request(options);
    return https.request({ ...options, ...buildTlsOptions(tls, endpoint) });
  }

  #buildHeaders(): Record<string, string> {
    const headers = copyEndToEndHeaders(this.#call.headers);
    // The upstream's own address goes there, not the one the caller dialled.
    delete headers["host"];
    delete headers["expect"];
    headers["content-length"] = String(this.#call.body.length);
    return headers;
  }

  /**
   * Marks the moment from which the request may have been read. On a new
   * connection nothing is written before it stands. On a kept one the write
   * may follow at once, and the other side may have closed it already: then
   * nobody can tell whether the request was read.
   */
  #noteSocket(socket: Socket): void {
    if (this.#request?.reusedSocket || !socket.connecting) {
      this.#mayHaveRun = true;
      return;
    }
    // Under TLS too the TCP connection decides: once the handshake is under
    // way, the request's bytes may leave with its last message.
    socket.once("connect", () => {
      this.#cancelConnectTimer?.();
      if (this.#call.canSend?.() === false) return this.#cancel("not_sent");
      this.#mayHaveRun = true;
    });
    this.#cancelConnectTimer = this.#route.clock.startTimer(
      Math.min(CONNECT_LIMIT_MS, this.#call.limits.firstByteMs),
      () => this.#cancel("connect"),
    );
  }

  #readAnswer(message: IncomingMessage): UpstreamAnswer {
    const watch = this.#watch!;
    if (!isDelimited(message, this.#call.method)) {
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
    return {
      status: message.statusCode ?? 0,
      headers: copyEndToEndHeaders(message.headers),
      body,
    };
  }

  #cancel(kind: UpstreamErrorKind): void {
    this.#given ??= kind;
    const isKept = this.#request?.reusedSocket ?? false;
    if (kind === "first_byte_timeout" && isKept) this.#route.onSilent();
    this.#request?.destroy(new Error(`Gave up: ${kind}`));
  }

  #end(): void {
    this.#watch?.stop();
    this.#cancelConnectTimer?.();
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
