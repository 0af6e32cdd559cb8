/**
 * Connections of one VM to the replicas, which a test can cut.
 *
 * @module
 */
import { connect, Socket } from "node:net";
import type { OpenConnection } from "../../src/connection/upstream_agent.ts";

/** How a VM loses its connections to replicas. */
export type LinkCut =
  /** Open connections are reset, new ones refused. */
  | "reset"
  /** Open connections and new ones carry no more bytes. */
  | "silent"
  /** Open connections live on, new ones are refused. */
  | "refuse_new";

/** A port of loopback without a listener. */
const CLOSED_PORT = 1;

/** Opens connections, and cuts them like a network. */
export class CuttableLinks {
  /** Open connections, with the port of their replica. */
  readonly #sockets = new Map<Socket, number>();
  /** Ports that the cut applies to; undefined for all. */
  #ports: ReadonlySet<number> | undefined;
  #cut: LinkCut | undefined;

  static create(): CuttableLinks {
    return new CuttableLinks();
  }

  readonly open: OpenConnection = (options) => {
    const { port } = options;
    if (this.#isCut(port) && this.#cut === "silent") return new Socket();
    if (this.#isCut(port)) return connect({ ...options, port: CLOSED_PORT });
    const socket = connect(options);
    this.#sockets.set(socket, port);
    socket.on("close", () => this.#sockets.delete(socket));
    return socket;
  };

  /** Cuts the links to the replicas at `ports`, by default to all. */
  cut(cut: LinkCut, ports?: readonly number[]): void {
    this.#cut = cut;
    this.#ports = ports && new Set(ports);
    for (const [socket, port] of this.#sockets) {
      if (!this.#isCut(port)) continue;
      if (cut === "reset") socket.resetAndDestroy();
      if (cut === "silent") dropBytes(socket);
    }
  }

  /** Lets new connections through; silent ones stay silent. */
  heal(): void {
    this.#cut = undefined;
  }

  #isCut(port: number): boolean {
    return this.#cut !== undefined && (this.#ports?.has(port) ?? true);
  }
}

/** Drops the bytes of both directions from now on, as a partition does. */
function dropBytes(socket: Socket): void {
  socket.push = () => true;
  socket._write = (_chunk, _encoding, onWritten) => onWritten();
  socket._writev = (_chunks, onWritten) => onWritten();
}
