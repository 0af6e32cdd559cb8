/**
 * A TCP relay on loopback that counts all bytes, including headers.
 *
 * @module
 */
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";

const HOST = "127.0.0.1";

/** Relays connections to one port. */
export class ByteRelay {
  bytes = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(target: number) {
    this.#server = createServer((client) => this.#open(client, target));
  }

  /** Listens on a free port and relays to port `target`. */
  static async create(target: number): Promise<ByteRelay> {
    const relay = new ByteRelay(target);
    await new Promise<void>((resolve) =>
      relay.#server.listen(0, HOST, resolve)
    );
    return relay;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  close(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #open(client: Socket, target: number): void {
    const upstream = connect(target, HOST);
    this.#copyBytes(client, upstream);
    this.#copyBytes(upstream, client);
  }

  #copyBytes(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => {});
    from.on("close", () => to.destroy());
  }
}
