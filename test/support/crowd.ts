/**
 * Clients that send the same bytes again and again and read nothing.
 *
 * @module
 */
import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { onTestFinished } from "vitest";

/** What each write of a client repeats up to about this length. */
const WRITE_BYTES = 65_536;

/** Where and how a crowd connects. */
export interface CrowdOptions {
  host: string;
  port: number;
  connections: number;
}

/** Open connections of clients that don't behave. */
export class Crowd {
  readonly #sockets: Socket[];
  #isSending = false;

  constructor(sockets: Socket[]) {
    this.#sockets = sockets;
  }

  /** Opens the connections; those that are refused are left out. */
  static async create(
    { host, port, connections }: CrowdOptions,
  ): Promise<Crowd> {
    const sockets = Array.from({ length: connections }, () => {
      const socket = connect({ host, port });
      socket.on("error", () => {});
      return socket;
    });
    const crowd = new Crowd(sockets);
    onTestFinished(() => crowd.close());
    await Promise.allSettled(sockets.map((socket) => once(socket, "connect")));
    return crowd;
  }

  /** Writes `request` as fast as the connections take it for `ms`. */
  async send(request: string, ms: number): Promise<void> {
    const count = Math.ceil(WRITE_BYTES / request.length);
    const bytes = Buffer.from(request.repeat(count), "latin1");
    this.#isSending = true;
    this.#sockets.forEach((socket) => this.#sendNext(socket, bytes));
    await sleep(ms);
    this.#isSending = false;
  }

  /** Writes `request` once on each connection, and waits for `ms`. */
  async sendOnce(request: string, ms: number): Promise<void> {
    this.#sockets.forEach((socket) => void socket.write(request));
    await sleep(ms);
  }

  close(): void {
    this.#isSending = false;
    this.#sockets.forEach((socket) => socket.destroy());
  }

  #sendNext(socket: Socket, bytes: Buffer): void {
    if (!this.#isSending || socket.destroyed) return;
    socket.write(
      bytes,
      () => setImmediate(() => this.#sendNext(socket, bytes)),
    );
  }
}
