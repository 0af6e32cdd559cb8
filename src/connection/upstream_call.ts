/**
 * A single HTTP call to an upstream, up to the answer's head.
 *
 * @module
 */
import type { SocketAddress } from "./endpoint.ts";
import type { ClientRequest, IncomingMessage } from "node:http";
import http from "node:http";
import https from "node:https";
import { isIP, type Socket } from "node:net";
import type { Clock } from "../process/clock.ts";
import { setResetOnDestroy } from "./abandoned_socket.ts";
import { AnswerBody } from "./answer_body.ts";
import { CallTimer } from "./call_timer.ts";
import { FramingGuard } from "./framing_guard.ts";
import { copyEndToEndHeaders } from "./headers.ts";
import type { ClientTls } from "./tls_material.ts";
import type {
  UpstreamAnswer,
  UpstreamCall,
  UpstreamErrorKind,
} from "./upstream_transport.ts";
import { UpstreamError } from "./upstream_transport.ts";

/** Interim answers, below, are not answers to a call. */
const FIRST_STATUS = 200;
const LAST_STATUS = 599;

const BODILESS_METHODS: ReadonlySet<string> = new Set(["GET", "HEAD"]);

/** Options of `runUpstreamCall`. */
export interface CallOptions {
  clock: Clock;
  endpoint: SocketAddress;
  agent: http.Agent;
  tls: ClientTls | undefined;
  /** Whether to accept close-delimited answers. */
  allowsCloseDelimited: boolean;
  /** Largest body of an answer, in bytes. */
  maxAnswerBytes: number;
  /** Called when no first byte arrived on a reused connection in time. */
  onSilentConnection: () => void;
  /** Called when a new connection was established, or could not be. */
  onConnection: (isEstablished: boolean) => void;
}

/** Sends `call`; resolves at the answer's head, rejects with `UpstreamError`. */
export function runUpstreamCall(
  call: UpstreamCall,
  options: CallOptions,
): Promise<UpstreamAnswer> {
  return new HttpCall(call, options).run();
}

class HttpCall {
  readonly #call: UpstreamCall;
  readonly #options: CallOptions;
  #request: ClientRequest | undefined;
  #timer: CallTimer | undefined;
  /** The first reason why this side cancelled the call. */
  #cancelReason: UpstreamErrorKind | undefined;
  #mayHaveRun = false;
  #isSent = false;
  #fail: (cause: Error) => void = () => {};
  #body: AnswerBody | undefined;
  #guard: FramingGuard | undefined;
  readonly #onAbort = () => this.#cancel("aborted");

  constructor(call: UpstreamCall, options: CallOptions) {
    this.#call = call;
    this.#options = options;
  }

  run(): Promise<UpstreamAnswer> {
    if (this.#call.signal.aborted) {
      this.#cancelReason = "aborted";
      return Promise.reject(this.#createError(undefined));
    }
    return new Promise((resolve, reject) => {
      const request = this.#openRequest();
      this.#request = request;
      this.#call.signal.addEventListener("abort", this.#onAbort);
      this.#timer = CallTimer.create(this.#options.clock, this.#call.timeouts, {
        onTimeout: (kind) => this.#cancel(kind),
      });
      request.on("socket", () => this.#handleSocket());
      request.on("finish", () => this.#isSent = true);
      this.#fail = (cause) => {
        // What comes after a whole answer, or does not come, is no part of it.
        const isOver = this.#body?.isComplete ?? false;
        if (isOver && this.#cancelReason === undefined) return;
        this.#body?.destroy(cause);
        this.#end();
        const error = this.#createError(cause);
        if (error.kind === "connect") this.#options.onConnection(false);
        reject(error);
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
    const { endpoint, agent, tls } = this.#options;
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
    // Unless `call.host` is set, Node sends the upstream's own address as host.
    delete headers["host"];
    delete headers["expect"];
    if (this.#call.host !== undefined) headers["host"] = this.#call.host;
    const { body, method } = this.#call;
    // A length on a method without a body would announce a body to come.
    if (body.length > 0 || !BODILESS_METHODS.has(method)) {
      headers["content-length"] = String(body.length);
    }
    return headers;
  }

  /**
   * Runs when the call has an established connection, right before the first
   * byte is written. From then on the upstream may have read the request. Even
   * a failed write does not prove otherwise: the upstream may close a
   * keep-alive connection while the request is written.
   */
  #handleSocket(): void {
    if (!this.#request?.reusedSocket) this.#options.onConnection(true);
    if (this.#call.canSend?.() === false) {
      this.#cancel("not_sent");
      return;
    }
    this.#mayHaveRun = true;
    this.#guard = FramingGuard.create({
      socket: this.#request!.socket!,
      getBodyBytes: () => this.#body?.receivedBytes ?? 0,
      onExcess: (cause) => this.#cancel("broken", cause),
    });
  }

  #readAnswer(message: IncomingMessage): UpstreamAnswer {
    const timer = this.#timer!;
    this.#checkStatus(message);
    const isCloseDelimited = !isDelimited(message, this.#call.method);
    if (isCloseDelimited && !this.#options.allowsCloseDelimited) {
      this.#cancel("broken");
      throw this.#createError(
        new Error("Answer has neither content-length nor transfer-encoding"),
      );
    }
    const body = AnswerBody.create(message, {
      maxBytes: this.#options.maxAnswerBytes,
      timer,
      createError: (cause) => this.#createError(cause),
      onAbandoned: () => this.#destroyRequest(),
      onEnd: () => this.#end(),
    });
    this.#body = body;
    if (isCloseDelimited) this.#watchReset(message.socket, body);
    return {
      status: message.statusCode ?? 0,
      headers: copyEndToEndHeaders(message.headers),
      isCloseDelimited,
      body,
    };
  }

  /** Node parses any number of three digits as a status. */
  #checkStatus({ statusCode = 0 }: IncomingMessage): void {
    if (statusCode >= FIRST_STATUS && statusCode <= LAST_STATUS) return;
    this.#cancel("broken");
    throw this.#createError(
      new Error(`Answer has the status ${statusCode}, which is none`),
    );
  }

  /**
   * Ends a close-delimited answer as broken if its connection was reset; only
   * an orderly close makes it complete.
   *
   * If the last bytes and a reset arrive together, libuv reports the end of the
   * data without reading the error, and a caller would take a truncated answer
   * for a complete one. At that moment a connection that was closed in order
   * still has a remote address; one that was reset has none.
   */
  #watchReset(socket: Socket, body: AnswerBody): void {
    socket.prependOnceListener("end", () => {
      if (socket.remoteAddress !== undefined) return;
      body.destroy(new Error("Connection was reset"));
    });
  }

  #cancel(
    kind: UpstreamErrorKind,
    cause = new Error(`Call cancelled: ${kind}`),
  ): void {
    const request = this.#request;
    const isConnecting = request?.socket == null;
    const isTimeout = kind !== "aborted" && kind !== "not_sent";
    this.#cancelReason ??= isConnecting && isTimeout ? "connect" : kind;
    if (kind === "first_byte_timeout" && request?.reusedSocket) {
      this.#options.onSilentConnection();
    }
    this.#destroyRequest(cause);
    // Until it has a socket, a destroyed request does not report its error.
    if (isConnecting) this.#fail(cause);
  }

  /** Bytes that have not arrived yet must not run the request later. */
  #destroyRequest(cause?: Error): void {
    const request = this.#request;
    // The connection of a request that is over may serve another one by now.
    if (request === undefined || request.destroyed) return;
    const canReset = this.#options.tls === undefined;
    if (request.socket != null && canReset) setResetOnDestroy(request.socket);
    request.destroy(cause);
  }

  #end(): void {
    this.#timer?.stop();
    this.#guard?.stop();
    this.#call.signal.removeEventListener("abort", this.#onAbort);
  }

  #createError(cause: Error | undefined): UpstreamError {
    const kind = this.#cancelReason ?? this.#getFailureKind();
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

/** TLS options that verify the server's certificate by name or IP address. */
export function buildTlsOptions(
  tls: ClientTls,
  endpoint: { address: string },
): { ca: string; servername: string } {
  const name = tls.serverName ?? endpoint.address;
  return { ca: tls.ca, servername: isIP(name) === 0 ? name : "" };
}

/**
 * Whether the end of an answer can be told from a broken connection. Without
 * a length or chunked encoding, a crash of the upstream looks like the end.
 */
function isDelimited(message: IncomingMessage, method: string): boolean {
  const status = message.statusCode ?? 0;
  if (method === "HEAD" || status === 204 || status === 304) return true;
  return message.headers["content-length"] !== undefined ||
    message.headers["transfer-encoding"] !== undefined;
}
