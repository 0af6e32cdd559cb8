/**
 * A TCP relay on loopback with configurable faults.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { DelayLine } from "./delay_line.ts";

/** How the relay handles a connection. */
export type RelayMode =
  /** Forwards all bytes. */
  | "pass"
  /** Accepts and drops bytes of both sides without closing: silence. */
  | "swallow"
  /** Drops only the server's bytes; the client's are forwarded. */
  | "swallow_back"
  /** Closes each new connection at once. */
  | "refuse";

interface Connection {
  client: Socket;
  server: Socket;
  mode: RelayMode;
}

/** A relay between clients and a server. */
export class Relay {
  readonly #target: { host: string; port: number };
  readonly #server: Server;
  readonly #connections = new Set<Connection>();
  /** One side of a silent connection may be open after the other has closed. */
  readonly #sockets = new Set<Socket>();
  #modeForNew: RelayMode = "pass";
  #delayMs = 0;
  #accepted = 0;
  #bytes = 0;

  constructor(target: { host: string; port: number }) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (client) => {
      this.#handle(client);
    });
  }

  /** Starts a relay to `port` on loopback. */
  static async create(port: number): Promise<Relay> {
    const relay = new Relay({ host: "127.0.0.1", port });
    await new Promise<void>((resolve) => {
      relay.#server.listen(0, "127.0.0.1", resolve);
    });
    return relay;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Connections accepted so far. */
  get accepted(): number {
    return this.#accepted;
  }

  /** Bytes received from both sides so far. */
  get bytes(): number {
    return this.#bytes;
  }

  /** The number of open connections. */
  get open(): number {
    return this.#connections.size;
  }

  /** Sets the mode of the open connections. */
  setModeOfOpen(mode: RelayMode): void {
    for (const connection of this.#connections) connection.mode = mode;
  }

  /** Sets the mode of later connections. */
  setModeOfNew(mode: RelayMode): void {
    this.#modeForNew = mode;
  }

  /** Delays each chunk by `ms`. */
  setDelay(ms: number): void {
    this.#delayMs = ms;
  }

  /** Cuts open connections: by FIN, or by RST when `reset` is set. */
  destroyOpen(options: { reset?: boolean } = {}): void {
    for (const { client, server } of this.#connections) {
      if (options.reset) {
        client.resetAndDestroy();
        server.resetAndDestroy();
      } else {
        client.destroy();
        server.destroy();
      }
    }
  }

  /** Stops listening, like a process that ended, and cuts open connections. */
  async close(): Promise<void> {
    this.destroyOpen();
    this.#sockets.forEach((socket) => socket.destroy());
    if (!this.#server.listening) return;
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #handle(client: Socket): void {
    this.#accepted += 1;
    if (this.#modeForNew === "refuse") {
      client.resetAndDestroy();
      return;
    }
    const server = connect({ ...this.#target, allowHalfOpen: true });
    client.setNoDelay(true);
    server.setNoDelay(true);
    const connection: Connection = { client, server, mode: this.#modeForNew };
    this.#connections.add(connection);
    for (const socket of [client, server]) {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    }
    this.#copyBytes(client, server, connection);
    this.#copyBytes(server, client, connection);
  }

  #copyBytes(from: Socket, to: Socket, connection: Connection): void {
    const line = DelayLine.create();
    from.on("data", (chunk) => {
      this.#bytes += chunk.length;
      if (isDropped(from, connection)) return;
      line.add(this.#delayMs, () => {
        if (isDropped(from, connection) || to.destroyed) return;
        if (!to.write(chunk)) from.pause();
      });
    });
    to.on("drain", () => from.resume());
    from.on("end", () => {
      if (isDropped(from, connection)) return;
      line.add(this.#delayMs, () => void to.end());
    });
    from.on("error", () => to.resetAndDestroy());
    from.on("close", () => {
      this.#connections.delete(connection);
      if (isDropped(from, connection)) return;
      line.add(this.#delayMs, () => to.destroySoon());
    });
  }
}

function isDropped(from: Socket, { mode, server }: Connection): boolean {
  return mode === "swallow" || (mode === "swallow_back" && from === server);
}
