/**
 * Caller sink over HTTP.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "../process/clock.ts";
import { CallerSink } from "../request/caller_sink.ts";

const RESOLVED = Promise.resolve();
const LAST_CHUNK_FLUSHED = "last_chunk_flushed";

/** Options of `HttpSink`. */
export interface HttpSinkOptions {
  clock: Clock;
  /** A caller that has not read the pending bytes by then is disconnected. */
  writeTimeoutMs: number;
  onWriteTimeout?: () => void;
}

/** Writes the answer of one HTTP request. */
export class HttpSink extends CallerSink {
  readonly #response: ServerResponse;
  readonly #options: HttpSinkOptions;
  readonly #controller = new AbortController();

  constructor(response: ServerResponse, options: HttpSinkOptions) {
    super();
    this.#response = response;
    this.#options = options;
    // Node ends its side as well, but reports the close some turns later.
    const onEnd = () => {
      if (!response.writableFinished) this.#noteDisconnected();
    };
    const { socket } = response.req;
    response.on("error", () => this.#noteDisconnected());
    response.on("close", () => {
      socket.off("end", onEnd);
      if (!response.writableFinished) this.#noteDisconnected();
    });
    socket.on("end", onEnd);
  }

  static create(response: ServerResponse, options: HttpSinkOptions): HttpSink {
    return new HttpSink(response, options);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  get headWritten(): boolean {
    return this.#response.headersSent;
  }

  /** Whether the answer is ended or aborted. */
  get isClosed(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Number of written bytes that are still buffered in this process. */
  get bufferedBytes(): number {
    return this.#response.writableLength;
  }

  writeHead(status: number, headers: Record<string, string>): void {
    if (this.isClosed) return;
    this.#response.writeHead(status, headers);
  }

  /**
   * Resolves when more can be written. Resolves at once if the caller has
   * disconnected, which `signal` reports.
   */
  write(bytes: Uint8Array): Promise<void> {
    if (this.isClosed) return RESOLVED;
    if (this.#response.write(bytes)) return RESOLVED;
    return this.#waitFor("drain");
  }

  end(): Promise<void> {
    if (this.isClosed) return RESOLVED;
    this.#response.end();
    if (this.#response.writableFinished) return RESOLVED;
    return this.#waitFor("finish");
  }

  override async destroyAfter(bytes: Uint8Array): Promise<void> {
    if (this.isClosed) return;
    // Destroying the response discards buffered bytes, so wait until the last
    // chunk is flushed.
    const flushed = this.#waitFor(LAST_CHUNK_FLUSHED);
    this.#response.write(bytes, () => this.#response.emit(LAST_CHUNK_FLUSHED));
    await flushed;
    this.destroy();
  }

  destroy(): void {
    this.#response.destroy();
    this.#noteDisconnected();
  }

  #noteDisconnected(): void {
    if (!this.#controller.signal.aborted) this.#controller.abort();
  }

  /**
   * Waits until the caller has read what was written. A caller that stops
   * reading but keeps its connection open would hold its work, its slot and its
   * buffers for ever. Only a timeout detects this; it closes the connection.
   */
  #waitFor(
    event: "drain" | "finish" | typeof LAST_CHUNK_FLUSHED,
  ): Promise<void> {
    const response = this.#response;
    if (response.destroyed) return RESOLVED;
    return new Promise((resolve) => {
      const settle = () => {
        cancelTimer();
        response.off(event, settle);
        response.off("close", settle);
        resolve();
      };
      const cancelTimer = this.#options.clock.startTimer(
        this.#options.writeTimeoutMs,
        () => {
          this.#options.onWriteTimeout?.();
          this.destroy();
          settle();
        },
      );
      response.on(event, settle);
      response.on("close", settle);
    });
  }
}
