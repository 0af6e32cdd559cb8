/**
 * Upstream transport over HTTP/1.1.
 *
 * @module
 */
import type http from "node:http";
import type { VmId } from "../ids.ts";
import type { Clock } from "../process/clock.ts";
import type { Log } from "../process/log.ts";
import {
  formatEndpoint,
  parseEndpoint,
  type SocketAddress,
} from "./endpoint.ts";
import {
  formatCommand,
  parseCacheEvents,
  parseImported,
  parseLoadReport,
} from "./engine_reports.ts";
import { isListening } from "./listening_check.ts";
import type { ReadPacer } from "./read_pacer.ts";
import type { ClientTls } from "./tls_material.ts";
import { createUpstreamAgent, type OpenConnection } from "./upstream_agent.ts";
import { runUpstreamCall } from "./upstream_call.ts";
import type {
  CacheEvent,
  EngineCommand,
  LoadReport,
  UpstreamAnswer,
  UpstreamCall,
} from "./upstream_transport.ts";
import { UpstreamError, UpstreamTransport } from "./upstream_transport.ts";
import type { BufferedAnswer, BufferedCall } from "./buffered_call.ts";
import {
  checkStatus,
  fetchBuffered,
  parseReport,
  readJson,
} from "./buffered_call.ts";

const REPORT_TIMEOUT_MS = 2_000;
const COMMAND_TIMEOUT_MS = 5_000;
const CACHE_COPY_TIMEOUT_MS = 10_000;
const MAX_REPORT_BYTES = 4_194_304;
const MAX_CACHE_BYTES = 268_435_456;
/** Long enough for a TCP handshake between regions. */
const LISTENING_TIMEOUT_MS = 250;
const IDLE_CONNECTION_TIMEOUT_MS = 15_000;
const MAX_IDLE_CONNECTIONS = 256;
const CONFLICT = 409;

/** Options of `HttpUpstreamTransport`. */
export interface HttpTransportOptions {
  clock: Clock;
  log: Log;
  /** The address of an upstream; undefined if it is not listed. */
  findAddress: (vm: VmId) => SocketAddress | undefined;
  tls?: ClientTls | undefined;
  /** Timeout of connecting, TLS handshake included; 1,000 ms by default. */
  connectTimeoutMs?: number;
  /** IP address that connections are made from; any by default. */
  localAddress?: string;
  /** See `UpstreamAgentOptions`. */
  openConnection?: OpenConnection | undefined;
  /**
   * Called when a new connection to an upstream was established, or could not
   * be.
   */
  onConnection?: ((vm: VmId, isEstablished: boolean) => void) | undefined;
  /**
   * Whether to accept answers that are delimited by the close of their
   * connection. If the connection is reset, the answer counts as broken.
   */
  allowsCloseDelimited?: boolean;
  /** Largest body of an answer, in bytes; unlimited by default. */
  maxAnswerBytes?: number;
  /** Paces the reads of answers; by default they are read as they come. */
  pacer?: ReadPacer | undefined;
}

/** Calls upstreams over HTTP with one keep-alive agent per endpoint. */
export class HttpUpstreamTransport extends UpstreamTransport {
  readonly #options: HttpTransportOptions;
  readonly #agents = new Map<string, http.Agent>();

  constructor(options: HttpTransportOptions) {
    super();
    this.#options = options;
  }

  static create(options: HttpTransportOptions): HttpUpstreamTransport {
    return new HttpUpstreamTransport(options);
  }

  async send(call: UpstreamCall): Promise<UpstreamAnswer> {
    const endpoint = this.#options.findAddress(call.upstream);
    if (endpoint === undefined) {
      throw new UpstreamError(
        { step: "upstream_connect", peer: call.upstream },
        {
          kind: "connect",
          mayHaveRun: false,
          message: "Upstream has no known address",
        },
      );
    }
    const agent = this.#getAgent(endpoint);
    try {
      return await runUpstreamCall(call, {
        clock: this.#options.clock,
        endpoint,
        agent: call.freshConnection ? this.#createAgent({}) : agent,
        tls: this.#options.tls,
        allowsCloseDelimited: this.#options.allowsCloseDelimited ?? false,
        maxAnswerBytes: this.#options.maxAnswerBytes ?? Infinity,
        onSilentConnection: () => closeIdleConnections(agent),
        onConnection: (isEstablished) =>
          this.#options.onConnection?.(call.upstream, isEstablished),
      });
    } catch (thrown) {
      this.#noteFailure(call, thrown);
      throw thrown;
    }
  }

  /** Closes idle connections; calls in flight continue. */
  close(): void {
    for (const agent of this.#agents.values()) closeIdleConnections(agent);
    this.#agents.clear();
  }

  /** Closes idle connections to endpoints for which `isWanted` is false. */
  removeEndpoints(isWanted: (endpoint: SocketAddress) => boolean): void {
    for (const [key, agent] of this.#agents) {
      if (isWanted(parseEndpoint(key))) continue;
      closeIdleConnections(agent);
      this.#agents.delete(key);
    }
  }

  override async isListening(upstream: VmId): Promise<boolean> {
    const { clock, findAddress, openConnection, onConnection } = this.#options;
    const endpoint = findAddress(upstream);
    if (endpoint === undefined) return false;
    const isEstablished = await isListening(endpoint, {
      clock,
      timeoutMs: LISTENING_TIMEOUT_MS,
      openConnection,
    });
    onConnection?.(upstream, isEstablished);
    return isEstablished;
  }

  async fetchLoad(upstream: VmId): Promise<LoadReport> {
    const answer = await this.#fetchBuffered(upstream, {
      step: "fetch_load",
      method: "GET",
      path: "/v1/load",
      timeoutMs: REPORT_TIMEOUT_MS,
      maxBytes: MAX_REPORT_BYTES,
    });
    return parseReport(answer, {
      step: "fetch_load",
      upstream,
      parse: parseLoadReport,
    });
  }

  async fetchCacheEvents(
    upstream: VmId,
    after: number,
  ): Promise<CacheEvent[]> {
    const answer = await this.#fetchBuffered(upstream, {
      step: "fetch_cache_events",
      method: "GET",
      path: `/v1/cache/events?after=${after}`,
      timeoutMs: REPORT_TIMEOUT_MS,
      maxBytes: MAX_REPORT_BYTES,
    });
    return parseReport(answer, {
      step: "fetch_cache_events",
      upstream,
      parse: parseCacheEvents,
    });
  }

  async sendCommand(upstream: VmId, command: EngineCommand): Promise<boolean> {
    const answer = await this.#fetchBuffered(upstream, {
      step: "send_order",
      method: "POST",
      path: "/v1/orders",
      headers: { "content-type": "application/json" },
      body: Buffer.from(formatCommand(command)),
      timeoutMs: COMMAND_TIMEOUT_MS,
      maxBytes: MAX_REPORT_BYTES,
    });
    if (answer.status === CONFLICT) return false;
    checkStatus(answer, { step: "send_order", upstream });
    return true;
  }

  async copyCache(
    from: VmId,
    to: VmId,
    prefixes: string[],
  ): Promise<number> {
    if (prefixes.length === 0) return 0;
    const query = prefixes.map(encodeURIComponent).join(",");
    const exported = await this.#fetchBuffered(from, {
      step: "export_cache",
      method: "GET",
      path: `/v1/cache/export?prefixes=${query}`,
      timeoutMs: CACHE_COPY_TIMEOUT_MS,
      maxBytes: MAX_CACHE_BYTES,
    });
    checkStatus(exported, { step: "export_cache", upstream: from });
    const imported = await this.#fetchBuffered(to, {
      step: "import_cache",
      method: "POST",
      path: "/v1/cache/import",
      headers: { "content-type": "application/octet-stream" },
      body: exported.body,
      timeoutMs: CACHE_COPY_TIMEOUT_MS,
      maxBytes: MAX_REPORT_BYTES,
    });
    checkStatus(imported, { step: "import_cache", upstream: to });
    return parseImported(readJson(imported.body)) ?? prefixes.length;
  }

  #getAgent(endpoint: SocketAddress): http.Agent {
    const key = formatEndpoint(endpoint);
    const existing = this.#agents.get(key);
    if (existing !== undefined) return existing;
    const agent = this.#createAgent({
      keepAlive: true,
      maxFreeSockets: MAX_IDLE_CONNECTIONS,
      timeout: IDLE_CONNECTION_TIMEOUT_MS,
      scheduling: "lifo",
    });
    this.#agents.set(key, agent);
    return agent;
  }

  #createAgent(agent: http.AgentOptions): http.Agent {
    const { clock, tls, connectTimeoutMs, openConnection } = this.#options;
    const { localAddress, pacer } = this.#options;
    return createUpstreamAgent({
      clock,
      tls,
      agent: localAddress === undefined ? agent : { ...agent, localAddress },
      connectTimeoutMs,
      openConnection,
      pacer,
    });
  }

  #fetchBuffered(upstream: VmId, call: BufferedCall): Promise<BufferedAnswer> {
    return fetchBuffered(this, upstream, call);
  }

  #noteFailure(call: UpstreamCall, thrown: unknown): void {
    if (!(thrown instanceof UpstreamError)) return;
    this.#options.log.debug("upstream_failed", {
      step: thrown.step,
      peer: call.upstream,
      cause: thrown.kind,
      may_have_run: thrown.mayHaveRun,
    });
  }
}

/**
 * Closes the idle connections to an endpoint. After one of them went silent,
 * the others may be dead as well, and a call on each would have to time out.
 */
function closeIdleConnections(agent: http.Agent): void {
  for (const sockets of Object.values(agent.freeSockets)) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
