/**
 * The body of an upstream's answer, with backpressure.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { toError } from "../errors.ts";
import type { CallTimer } from "./call_timer.ts";
import { PacedSocket } from "./paced_socket.ts";

/** What waits for a reader that is slow. */
const MAX_WAITING_BYTES = 16_384;

/** Options of `AnswerBody`. */
export interface AnswerBodyOptions {
  /** Largest body, in bytes. */
  maxBytes: number;
  timer: CallTimer;
  /** Creates the error to throw from the error of the connection. */
  createError: (cause: Error | undefined) => Error;
  /** Called when the reader stops before the end. */
  onAbandoned: () => void;
  /** Called once when reading ends, for whatever reason. */
  onEnd: () => void;
}

/**
 * Iterates over a body once. While the reader does not read, little is read from
 * the connection, which slows the upstream down. Chunks that wait are joined: each
 * by itself takes some 150 bytes, however short it is.
 */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  readonly #message: IncomingMessage;
  readonly #options: AnswerBodyOptions;
  #failure: Error | undefined;
  #isEnded = false;
  /** Taken from the message, and not read yet. */
  #waiting: Buffer[] = [];
  #waitingBytes = 0;
  #readBytes = 0;
  #wake: (() => void) | undefined;

  constructor(message: IncomingMessage, options: AnswerBodyOptions) {
    this.#message = message;
    this.#options = options;
    message.on("readable", () => {
      this.#takeArrived();
      this.#wake?.();
    });
    message.on("end", () => this.#end(undefined));
    message.on("error", (error) => this.#end(error));
    message.on("close", () => {
      // A connection that ends early can close without an error. Without this
      // check a truncated answer would pass for a complete one.
      if (!message.complete) this.#end(new Error("Connection closed early"));
    });
  }

  static create(
    message: IncomingMessage,
    options: AnswerBodyOptions,
  ): AnswerBody {
    return new AnswerBody(message, options);
  }

  /** Whether all of the body was received, if not read. */
  get isComplete(): boolean {
    return this.#message.complete;
  }

  /** Bytes of the body that were received. */
  get receivedBytes(): number {
    return this.#readBytes + this.#waitingBytes + this.#message.readableLength;
  }

  /**
   * Ends the body as broken. When the connection of a close-delimited answer
   * is reset, Node reports the reset to the request and then ends the answer as
   * complete: without this call a caller would take a truncated answer for a
   * complete one.
   */
  destroy(cause: Error): void {
    this.#end(cause);
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array, void> {
    try {
      while (true) {
        if (this.#failure !== undefined) throw this.#failure;
        this.#takeArrived();
        if (this.#waitingBytes > 0) {
          if (!this.#isEnded) this.#options.timer.noteByte();
          yield this.#takeWaiting();
          continue;
        }
        if (this.#isEnded) return;
        this.#options.timer.noteWaiting();
        await new Promise<void>((resolve) => this.#wake = resolve);
      }
    } finally {
      this.#cancel();
    }
  }

  /** Takes what has arrived, up to what a reader that is slow may have. */
  #takeArrived(): void {
    while (this.#waitingBytes < MAX_WAITING_BYTES) {
      const chunk = this.#message.read() as Buffer | null;
      if (chunk === null) break;
      this.#waiting.push(chunk);
      this.#waitingBytes += chunk.length;
    }
    this.#setWanted(this.#waitingBytes < MAX_WAITING_BYTES);
  }

  #takeWaiting(): Buffer {
    const [first, ...others] = this.#waiting;
    const chunk = others.length === 0 ? first! : Buffer.concat(this.#waiting);
    this.#waiting = [];
    this.#waitingBytes = 0;
    this.#readBytes += chunk.length;
    this.#checkSize();
    return chunk;
  }

  /** Once the answer has ended, the connection may serve another call. */
  #setWanted(isWanted: boolean): void {
    if (this.#isEnded) return;
    const { socket } = this.#message;
    if (socket instanceof PacedSocket) socket.setWanted(isWanted);
  }

  #checkSize(): void {
    const { maxBytes, createError } = this.#options;
    if (this.#readBytes <= maxBytes) return;
    throw createError(new Error(`Answer exceeds ${maxBytes} bytes`));
  }

  #cancel(): void {
    if (this.#isEnded) return;
    this.#setWanted(true);
    this.#isEnded = true;
    this.#options.onEnd();
    this.#options.onAbandoned();
  }

  #end(cause: Error | undefined): void {
    if (this.#isEnded) return;
    this.#setWanted(true);
    this.#isEnded = true;
    if (cause !== undefined) {
      this.#failure = toError(this.#options.createError(cause));
    }
    this.#options.onEnd();
    this.#wake?.();
  }
}
