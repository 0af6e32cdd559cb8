/**
 * The body of an upstream's answer, with backpressure.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { toError } from "../errors.ts";
import type { CallTimer } from "./call_timer.ts";

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
 * Iterates over a body once. While the reader does not read, nothing beyond
 * the stream's buffer is read from the connection, which slows the upstream
 * down.
 */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  readonly #message: IncomingMessage;
  readonly #options: AnswerBodyOptions;
  #failure: Error | undefined;
  #isEnded = false;
  #readBytes = 0;
  #wake: (() => void) | undefined;

  constructor(message: IncomingMessage, options: AnswerBodyOptions) {
    this.#message = message;
    this.#options = options;
    const wake = () => this.#wake?.();
    message.on("readable", wake);
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
    return this.#readBytes + this.#message.readableLength;
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
        const chunk = this.#message.read() as Buffer | null;
        if (chunk !== null) {
          this.#options.timer.noteByte();
          this.#readBytes += chunk.length;
          this.#checkSize();
          yield chunk;
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

  #checkSize(): void {
    const { maxBytes, createError } = this.#options;
    if (this.#readBytes <= maxBytes) return;
    throw createError(new Error(`Answer exceeds ${maxBytes} bytes`));
  }

  #cancel(): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#options.onEnd();
    this.#options.onAbandoned();
  }

  #end(cause: Error | undefined): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    if (cause !== undefined) {
      this.#failure = toError(this.#options.createError(cause));
    }
    this.#options.onEnd();
    this.#wake?.();
  }
}
