/**
 * A small TCP relay on loopback that fails in chosen ways.
 *
 * @module
 */
import type { AddressInfo, Server, Socket } from "node:net";
import { connect, createServer } from "node:net";
import { DelayLine } from "./delay_line.ts";

/** What the relay does with connections. */
export type RelayMode =
  /** Passes bytes on. */
  | "pass"
  /** Takes bytes and passes none on, without closing: silence. */
  | "swallow"
  /** The same for what the server sends, while it hears the client. */
  | "swallow_back"
  /** Closes each new connection at once. */
  | "refuse";

interface Pair {
  near: Socket;
  far: Socket;
  mode: RelayMode;
}

/** Stands between a client and a server. */
export class Relay {
  readonly #target: { host: string; port: number };
  readonly #server: Server;
  readonly #pairs = new Set<Pair>();
  /** One side of a silent pair may be open while the other is gone. */
  readonly #sockets = new Set<Socket>();
  #modeForNew: RelayMode = "pass";
  #delayMs = 0;
  #accepted = 0;
  #bytes = 0;

  constructor(target: { host: string; port: number }) {
    this.#target = target;
    this.#server = createServer({ allowHalfOpen: true }, (near) => {
      this.#handle(near);
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

  /** Bytes taken from both sides so far. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Connections open now. */
  get open(): number {
    return this.#pairs.size;
  }

  /** Sets the mode of connections that are open now. */
  setModeOfOpen(mode: RelayMode): void {
    for (const pair of this.#pairs) pair.mode = mode;
  }

  /** Sets the mode of connections that come later. */
  setModeOfNew(mode: RelayMode): void {
    this.#modeForNew = mode;
  }

  /** Holds each chunk back for `ms`. */
  setDelay(ms: number): void {
    this.#delayMs = ms;
  }

  /** Cuts open connections: by FIN, or by RST when `reset` is set. */
  destroyOpen(options: { reset?: boolean } = {}): void {
    for (const { near, far } of this.#pairs) {
      if (options.reset) {
        near.resetAndDestroy();
        far.resetAndDestroy();
      } else {
        near.destroy();
        far.destroy();
      }
    }
  }

  /** Stops listening, as a process that died, and cuts what is open. */
  async close(): Promise<void> {
    this.destroyOpen();
    this.#sockets.forEach((socket) => socket.destroy());
    if (!this.#server.listening) return;
    await new Promise<void>((resolve) => this.#server.close(() => resolve()));
  }

  #handle(near: Socket): void {
    this.#accepted += 1;
    if (this.#modeForNew === "refuse") {
      near.resetAndDestroy();
      return;
    }
    const far = connect({ ...this.#target, allowHalfOpen: true });
    near.setNoDelay(true);
    far.setNoDelay(true);
    const pair: Pair = { near, far, mode: this.#modeForNew };
    this.#pairs.add(pair);
    for (const socket of [near, far]) {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    }
    this.#copyBytes(near, far, pair);
    this.#copyBytes(far, near, pair);
  }

  #copyBytes(from: Socket, to: Socket, pair: Pair): void {
    const line = DelayLine.create();
    from.on("data", (chunk) => {
      this.#bytes += chunk.length;
      if (isSwallowed(from, pair)) return;
      line.add(this.#delayMs, () => {
        if (isSwallowed(from, pair) || to.destroyed) return;
        if (!to.write(chunk)) from.pause();
      });
    });
    to.on("drain", () => from.resume());
    from.on("end", () => {
      if (isSwallowed(from, pair)) return;
      line.add(this.#delayMs, () => void to.end());
    });
    from.on("error", () => to.destroy());
    from.on("close", () => {
      this.#pairs.delete(pair);
      if (isSwallowed(from, pair)) return;
      line.add(this.#delayMs, () => to.destroySoon());
    });
  }
}

function isSwallowed(from: Socket, { mode, far }: Pair): boolean {
  return mode === "swallow" || (mode === "swallow_back" && from === far);
}
