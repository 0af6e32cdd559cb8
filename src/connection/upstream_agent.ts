/**
 * Agents that hand a connection over only once it stands, the TLS handshake
 * included.
 *
 * Node's own agents give a request its socket while it still connects, and the
 * request's bytes wait in the socket. What goes wrong with that: nobody can say
 * when the first byte leaves, so that a request which surely did not run cannot
 * be told from one that may have; and a process that was paused while it
 * connected sends what it has no more right to send.
 *
 * @module
 */
import http from "node:http";
import https from "node:https";
import type { Socket } from "node:net";
import net from "node:net";
import type { Duplex } from "node:stream";
import type { Clock } from "../process/clock.ts";
import type { ClientTls } from "./tls_material.ts";

const DEFAULT_CONNECT_LIMIT_MS = 1_000;

type OnCreated = (error: Error | null, stream: Duplex) => void;

/** What an agent is made of. */
export interface UpstreamAgentOptions {
  clock: Clock;
  tls: ClientTls | undefined;
  /** How it keeps connections. */
  agent: http.AgentOptions;
  /** A connection that takes longer fails; a second without it. */
  connectLimitMs?: number | undefined;
}

/** Creates an agent whose connections stand before they are used. */
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
    const socket = net.connect(options as net.NetConnectOpts);
    waitStanding(this.#options, socket, { event: "connect", onCreated });
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
    waitStanding(this.#options, socket, { event: "secureConnect", onCreated });
  }
}

function waitStanding(
  { clock, connectLimitMs = DEFAULT_CONNECT_LIMIT_MS }: UpstreamAgentOptions,
  socket: Socket,
  options: { event: string; onCreated: OnCreated | undefined },
): void {
  const cancelTimer = clock.startTimer(connectLimitMs, () => {
    socket.destroy(new Error("Connection did not come about in time"));
  });
  // It stays for the moment between the handing over and the request's own
  // listener, in which an error would end the process.
  socket.on("error", (error) => {
    cancelTimer();
    options.onCreated?.(error, socket);
  });
  socket.once(options.event, () => {
    cancelTimer();
    options.onCreated?.(null, socket);
  });
}
