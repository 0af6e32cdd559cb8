/**
 * HTTP agents that assign a connection to a request only once it is
 * established, TLS handshake included.
 *
 * Node's own agents assign a socket that is still connecting and buffer the
 * request in it. The router then could not tell a request that was certainly
 * not sent from one that may have run. After a pause during the handshake, it
 * would also send a request whose lease or claim has expired.
 *
 * @module
 */
import http from "node:http";
import https from "node:https";
import net, { type Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Clock } from "../process/clock.ts";
import { clearIdle, watchIdle } from "./idle_connections.ts";
import { PacedSocket } from "./paced_socket.ts";
import type { ReadPacer } from "./read_pacer.ts";
import { startSilenceTimer } from "./silence_timer.ts";
import type { ClientTls } from "./tls_material.ts";

const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;

/** Opens a TCP connection, which may still be connecting on return. */
export type OpenConnection = (options: net.TcpNetConnectOpts) => Socket;

type OnCreated = (error: Error | null, stream: Duplex) => void;

/** Options of `createUpstreamAgent`. */
export interface UpstreamAgentOptions {
  clock: Clock;
  tls: ClientTls | undefined;
  /** Options of Node's agent, such as keep-alive. */
  agent: http.AgentOptions;
  /** Timeout of connecting, TLS handshake included; 1,000 ms by default. */
  connectTimeoutMs?: number | undefined;
  /** `net.connect`, or a `PacedSocket`, by default; not used for TLS. */
  openConnection?: OpenConnection | undefined;
  /** Paces the reads of connections; not used for TLS. */
  pacer?: ReadPacer | undefined;
}

/** Creates an agent that uses only established connections. */
export function createUpstreamAgent(options: UpstreamAgentOptions): http.Agent {
  return options.tls === undefined
    ? new PlainAgent(options)
    : new TlsAgent(options);
}

class PlainAgent extends http.Agent {
  readonly #options: UpstreamAgentOptions;

  constructor(options: UpstreamAgentOptions) {
    super(options.agent);
    this.#options = options;
  }

  override createConnection(
    options: http.ClientRequestArgs,
    onCreated?: OnCreated,
  ): undefined {
    const socket = this.#open(options as net.TcpNetConnectOpts);
    waitConnected(this.#options, socket, { event: "connect", onCreated });
  }

  override keepSocketAlive(socket: Duplex): void {
    watchIdle(socket);
    // Returns whether to keep it, which Node's types leave out.
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    clearIdle(socket);
    super.reuseSocket(socket, request);
  }

  #open(endpoint: net.TcpNetConnectOpts): Socket {
    const { openConnection, pacer } = this.#options;
    if (openConnection !== undefined) return openConnection(endpoint);
    if (pacer === undefined) return net.connect(endpoint);
    return PacedSocket.open(pacer, endpoint);
  }
}

class TlsAgent extends https.Agent {
  readonly #options: UpstreamAgentOptions;

  constructor(options: UpstreamAgentOptions) {
    super(options.agent);
    this.#options = options;
  }

  override createConnection(
    options: https.RequestOptions,
    onCreated?: OnCreated,
  ): undefined {
    const socket = super.createConnection(options) as Socket;
    waitConnected(this.#options, socket, { event: "secureConnect", onCreated });
  }

  override keepSocketAlive(socket: Duplex): void {
    watchIdle(socket);
    // Returns whether to keep it, which Node's types leave out.
    return super.keepSocketAlive(socket);
  }

  override reuseSocket(socket: Duplex, request: http.ClientRequest): void {
    clearIdle(socket);
    super.reuseSocket(socket, request);
  }
}

function waitConnected(
  { clock, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS }:
    UpstreamAgentOptions,
  socket: Socket,
  options: { event: string; onCreated: OnCreated | undefined },
): void {
  const cancelTimer = startSilenceTimer(clock, connectTimeoutMs, () => {
    socket.destroy(new Error("Connecting timed out"));
  });
  // Stays registered: an error between `onCreated` and the registration of the
  // request's own listener would otherwise crash the process.
  socket.on("error", (error) => {
    cancelTimer();
    options.onCreated?.(error, socket);
  });
  socket.once(options.event, () => {
    cancelTimer();
    options.onCreated?.(null, socket);
  });
}
