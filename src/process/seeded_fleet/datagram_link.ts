/**
 * Datagram transport between entry VMs.
 *
 * @module
 */
import { createSocket, type Socket } from "node:dgram";
import {
  type Endpoint,
  formatEndpoint,
  parseEndpoint,
} from "../../connection/endpoint.ts";
import { StepError, toError } from "../../errors.ts";
import type { Log } from "../log.ts";
import type { DatagramTotals } from "./datagram_counts.ts";
import { readReceiveDrops } from "./receive_drops.ts";

/**
 * A pool owner gets some seven datagrams a second from each VM. This holds those
 * of a second in a fleet of 380 VMs, so that a VM which reads its socket late
 * loses none. The kernel may grant less.
 */
const RECEIVE_BUFFER_BYTES = 2 * 1024 * 1024;

const NO_DATAGRAMS: DatagramTotals = { sent: 0, received: 0, failed: 0 };

/** Receives a datagram and the sender's endpoint. */
export type DatagramHandler = (bytes: Uint8Array, from: Endpoint) => void;

/** Sends and receives datagrams; delivery is not guaranteed. */
export abstract class DatagramLink {
  abstract send(to: Endpoint, bytes: Uint8Array): void;
  abstract onDatagram(handle: DatagramHandler): void;
  abstract close(): void;

  get totals(): DatagramTotals {
    return NO_DATAGRAMS;
  }

  /** Why the last datagram could not be sent; undefined if all could. */
  get lastError(): Error | undefined {
    return undefined;
  }

  /** See `readReceiveDrops`. */
  readReceiveDrops(): Promise<number | undefined> {
    return Promise.resolve(undefined);
  }
}

/** Datagrams over UDP and IPv4. */
export class UdpLink extends DatagramLink {
  readonly #socket: Socket;
  readonly #log: Log;
  readonly #totals = { ...NO_DATAGRAMS };
  readonly #local: Endpoint;
  #lastError: Error | undefined;
  #isClosed = false;

  constructor(socket: Socket, local: Endpoint, log: Log) {
    super();
    this.#socket = socket;
    this.#local = local;
    this.#log = log;
  }

  /** Resolves once the socket is bound; rejects with `StepError`. */
  static open(address: string, port: number, log: Log): Promise<UdpLink> {
    const socket = createSocket("udp4");
    const local = formatEndpoint({ address, port });
    return new Promise((resolve, reject) => {
      socket.once("error", (cause) => {
        const context = {
          step: "udp_bind",
          peer: local,
          cause,
        };
        reject(
          new StepError(context, "Cannot bind the UDP socket for datagrams"),
        );
      });
      socket.bind({ address, port }, () => {
        socket.removeAllListeners("error");
        const link = new UdpLink(socket, local, log);
        link.#setReceiveBuffer();
        socket.on("error", (error) => link.#noteError(error));
        resolve(link);
      });
    });
  }

  override get totals(): DatagramTotals {
    return { ...this.#totals };
  }

  override get lastError(): Error | undefined {
    return this.#lastError;
  }

  override readReceiveDrops(): Promise<number | undefined> {
    return readReceiveDrops(this.#local);
  }

  send(to: Endpoint, bytes: Uint8Array): void {
    // Requests that wait at other VMs when this one stops are still sent again.
    if (this.#isClosed) return;
    this.#totals.sent += 1;
    const { address, port } = parseEndpoint(to);
    this.#socket.send(bytes, port, address, (error) => {
      if (error !== null && error !== undefined) this.#noteError(error);
    });
  }

  onDatagram(handle: DatagramHandler): void {
    this.#socket.on("message", (bytes, from) => {
      this.#totals.received += 1;
      handle(bytes, formatEndpoint(from));
    });
  }

  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  #setReceiveBuffer(): void {
    try {
      this.#socket.setRecvBufferSize(RECEIVE_BUFFER_BYTES);
    } catch (thrown) {
      this.#log.warn("receive_buffer_not_set", {
        bytes: RECEIVE_BUFFER_BYTES,
        error: toError(thrown).message,
      });
    }
  }

  #noteError(error: Error): void {
    this.#totals.failed += 1;
    this.#lastError = error;
    this.#log.debug("datagram_failed", { error: error.message });
  }
}
