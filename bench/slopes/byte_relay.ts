/**
 * A relay on loopback that counts what passes, headers and all.
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

/** Stands before one port. */
export class ByteRelay {
  bytes = 0;
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();

  constructor(target: number) {
    this.#server = createServer((near) => this.#open(near, target));
  }

  /** Listens on a free port and passes on to `target`. */
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

  #open(near: Socket, target: number): void {
    const far = connect(target, HOST);
    this.#sendOn(near, far);
    this.#sendOn(far, near);
  }

  #sendOn(from: Socket, to: Socket): void {
    this.#sockets.add(from);
    from.on("data", (chunk) => {
      this.bytes += chunk.length;
      to.write(chunk);
    });
    from.on("error", () => {});
    from.on("close", () => to.destroy());
  }
}
