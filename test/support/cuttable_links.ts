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
  | "refuse_new"
  /** What the VM sends arrives once the cut ends, but for reset connections. */
  | "held";

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
  /** Lets what was written to a connection arrive. */
  readonly #held = new Map<Socket, () => void>();
  /** Called when the VM has begun to open a connection. */
  onOpen: () => void = () => {};

  static create(): CuttableLinks {
    return new CuttableLinks();
  }

  readonly open: OpenConnection = (options) => {
    const { port } = options;
    const cut = this.getCut(port);
    if (cut === "silent") return new Socket();
    if (cut !== undefined && cut !== "held") {
      return connect({ ...options, port: CLOSED_PORT });
    }
    const socket = connect(options);
    this.add(socket, port);
    this.onOpen();
    return socket;
  };

  /** Adds an open connection that a cut applies to. */
  add(socket: Socket, port: number): void {
    this.#sockets.set(socket, port);
    socket.on("close", () => this.#sockets.delete(socket));
    if (this.getCut(port) === "held") this.#hold(socket);
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
      if (cut === "held") this.#hold(socket);
    }
  }

  /** Lets new connections through; silent ones stay silent. */
  heal(): void {
    this.#cut = undefined;
    this.#held.forEach((release) => release());
    this.#held.clear();
  }

  #hold(socket: Socket): void {
    if (this.#held.has(socket)) return;
    this.#held.set(socket, holdWrites(socket));
    socket.on("close", () => this.#held.delete(socket));
  }
}

/** Drops the bytes of both directions from now on, as a partition does. */
function dropBytes(socket: Socket): void {
  socket.push = () => true;
  socket._write = (_chunk, _encoding, onWritten) => onWritten();
  socket._writev = (_chunks, onWritten) => onWritten();
}

/** Keeps what is written from now on; returns a function that sends it. */
function holdWrites(socket: Socket): () => void {
  const { _write: write, _writev: writev } = socket;
  const kept: (() => void)[] = [];
  const keep = (send: () => void) => kept.push(send);
  // The writer must not wait, as a kernel takes bytes of a silent link as well.
  socket._write = (chunk, encoding, onWritten) => {
    keep(() => write.call(socket, chunk, encoding, () => {}));
    onWritten();
  };
  socket._writev = (chunks, onWritten) => {
    keep(() => writev?.call(socket, chunks, () => {}));
    onWritten();
  };
  return () => {
    socket._write = write;
    if (writev !== undefined) socket._writev = writev;
    if (!socket.destroyed) kept.forEach((send) => send());
  };
}
