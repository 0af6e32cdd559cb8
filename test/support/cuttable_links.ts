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

/** All ways to lose connections. */
export const LINK_CUTS: readonly LinkCut[] = ["reset", "silent", "refuse_new"];

/** A port of loopback without a listener. */
export const CLOSED_PORT = 1;

/** Opens connections, and cuts them like a network. */
export class CuttableLinks {
  /** Open connections, with the port of their replica. */
  readonly #sockets = new Map<Socket, number>();
  /** Ports that the cut applies to; undefined for all. */
  #ports: ReadonlySet<number> | undefined;
  #cut: LinkCut | undefined;
  /** Called when the VM has begun to open a connection. */
  onOpen: () => void = () => {};

  static create(): CuttableLinks {
    return new CuttableLinks();
  }

  readonly open: OpenConnection = (options) => {
    const { port } = options;
    const cut = this.getCut(port);
    if (cut === "silent") return new Socket();
    if (cut !== undefined) return connect({ ...options, port: CLOSED_PORT });
    const socket = connect(options);
    this.add(socket, port);
    this.onOpen();
    return socket;
  };

  /** Adds an open connection that a cut applies to. */
  add(socket: Socket, port: number): void {
    this.#sockets.set(socket, port);
    socket.on("close", () => this.#sockets.delete(socket));
  }

  /** How new connections to `port` are cut; undefined where they are not. */
  getCut(port: number): LinkCut | undefined {
    return this.#ports?.has(port) ?? true ? this.#cut : undefined;
  }

  /** Cuts the links to the replicas at `ports`, by default to all. */
  cut(cut: LinkCut, ports?: readonly number[]): void {
    this.#cut = cut;
    this.#ports = ports && new Set(ports);
    for (const [socket, port] of this.#sockets) {
      if (this.getCut(port) === undefined) continue;
      if (cut === "reset") socket.resetAndDestroy();
      if (cut === "silent") dropBytes(socket);
    }
  }

  /** Lets new connections through; silent ones stay silent. */
  heal(): void {
    this.#cut = undefined;
  }
}

/** Drops the bytes of both directions from now on, as a partition does. */
function dropBytes(socket: Socket): void {
  socket.push = () => true;
  socket._write = (_chunk, _encoding, onWritten) => onWritten();
  socket._writev = (_chunks, onWritten) => onWritten();
}
