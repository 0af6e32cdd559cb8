/**
 * An upstream's answer, read at the pace of whoever takes it.
 *
 * @module
 */
import type { IncomingMessage } from "node:http";
import { toError } from "../errors.ts";
import type { CallTimer } from "./call_timer.ts";

/** What a body needs from its call. */
export interface AnswerBodyOptions {
  watch: CallTimer;
  /** The error to throw, given what the connection reported. */
  createError: (cause: Error | undefined) => Error;
  /** Called when the reader leaves before the end. */
  onAbandoned: () => void;
  /** Called once when nothing more will be read, for whatever reason. */
  onEnd: () => void;
}

/**
 * Iterates over a body once. Nothing is read from the connection beyond its
 * buffer while the reader takes nothing, so the upstream feels the pressure.
 */
export class AnswerBody implements AsyncIterable<Uint8Array> {
  readonly #message: IncomingMessage;
  readonly #options: AnswerBodyOptions;
  #failure: Error | undefined;
  #isEnded = false;
  #wake: (() => void) | undefined;

  constructor(message: IncomingMessage, options: AnswerBodyOptions) {
    this.#message = message;
    this.#options = options;
    const wake = () => this.#wake?.();
    message.on("readable", wake);
    message.on("end", () => this.#end(undefined));
    message.on("error", (error) => this.#end(error));
    message.on("close", () => {
      // What goes wrong without it: a connection that ends early can close
      // without an error, and a cut answer would pass for a whole one.
      if (!message.complete) this.#end(new Error("Connection closed"));
    });
  }

  static create(
    message: IncomingMessage,
    options: AnswerBodyOptions,
  ): AnswerBody {
    return new AnswerBody(message, options);
  }

  /**
   * Ends the body as broken. Node ends an answer without a length as whole
   * when its connection is reset, right after it tells the request of the
   * reset: without this a caller would get a cut answer as a whole one.
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
          this.#options.watch.noteByte();
          yield chunk;
          continue;
        }
        if (this.#isEnded) return;
        this.#options.watch.noteWaiting();
        await new Promise<void>((resolve) => this.#wake = resolve);
      }
    } finally {
      this.#drop();
    }
  }

  #drop(): void {
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
