/**
 * The open connections of one listener, by their TCP sockets.
 *
 * @module
 */
import type { Socket } from "node:net";
import type { ServerConnection } from "./server_connection.ts";

interface Entry {
  address: string;
  /** Undefined until a TLS handshake has ended. */
  connection: ServerConnection | undefined;
}

/** Open connections, those that have been idle for longest first. */
export class ConnectionTable {
  readonly #entries = new Map<Socket, Entry>();
  /** Number of connections by the other side's address. */
  readonly #counts = new Map<string, number>();

  static create(): ConnectionTable {
    return new ConnectionTable();
  }

  get size(): number {
    return this.#entries.size;
  }

  get(socket: Socket): ServerConnection | undefined {
    return this.#entries.get(socket)?.connection;
  }

  /** Adds a connection, which is removed once it has closed. */
  add(socket: Socket): void {
    const address = socket.remoteAddress ?? "";
    this.#entries.set(socket, { address, connection: undefined });
    this.#counts.set(address, (this.#counts.get(address) ?? 0) + 1);
    socket.once("close", () => this.#remove(socket));
  }

  /** Sets what parses the connection's bytes. */
  setConnection(socket: Socket, connection: ServerConnection): void {
    const entry = this.#entries.get(socket);
    if (entry !== undefined) entry.connection = connection;
  }

  /** Records that a request on the connection was answered. */
  noteAnswered(socket: Socket): void {
    const entry = this.#entries.get(socket);
    if (entry === undefined) return;
    this.#entries.delete(socket);
    this.#entries.set(socket, entry);
  }

  /** Sockets of the connections without a request in flight. */
  listIdle(): Socket[] {
    return [...this.#entries]
      .filter(([, { connection }]) => !connection?.inFlight)
      .map(([socket]) => socket);
  }

  listSockets(): Socket[] {
    return [...this.#entries.keys()];
  }

  /**
   * Closes an idle connection to make room, of the address that has the most;
   * returns whether there was any.
   */
  closeIdle(): boolean {
    let evicted: { socket: Socket; count: number } | undefined;
    for (const [socket, { address, connection }] of this.#entries) {
      if (connection?.inFlight || socket.destroyed) continue;
      const count = this.#counts.get(address) ?? 0;
      if (count > (evicted?.count ?? 0)) evicted = { socket, count };
    }
    if (evicted === undefined) return false;
    evicted.socket.destroy();
    this.#remove(evicted.socket);
    return true;
  }

  #remove(socket: Socket): void {
    const entry = this.#entries.get(socket);
    if (entry === undefined) return;
    this.#entries.delete(socket);
    const count = (this.#counts.get(entry.address) ?? 0) - 1;
    if (count > 0) this.#counts.set(entry.address, count);
    else this.#counts.delete(entry.address);
  }
}
