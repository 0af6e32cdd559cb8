/**
 * A caller's side of a request, over HTTP.
 *
 * @module
 */
import type { ServerResponse } from "node:http";
import type { Clock } from "../process/clock.ts";
import { CallerSink } from "../request/caller_sink.ts";

const RESOLVED = Promise.resolve();
const LAST_PART_OUT = "last_part_out";

/** What a sink needs. */
export interface HttpSinkOptions {
  clock: Clock;
  /** A caller that takes nothing for so many milliseconds is cut. */
  writeStallMs: number;
  onStall?: () => void;
}

/** Answers over one HTTP exchange. */
export class HttpSink extends CallerSink {
  readonly #response: ServerResponse;
  readonly #options: HttpSinkOptions;
  readonly #controller = new AbortController();

  constructor(response: ServerResponse, options: HttpSinkOptions) {
    super();
    this.#response = response;
    this.#options = options;
    response.on("error", () => this.#noteGone());
    response.on("close", () => {
      if (!response.writableFinished) this.#noteGone();
    });
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

  /** Whether the answer was ended or cut. */
  get isClosed(): boolean {
    return this.#response.writableEnded || this.#response.destroyed;
  }

  /** Bytes taken from the request's task that the caller has not taken. */
  get bufferedBytes(): number {
    return this.#response.writableLength;
  }

  writeHead(status: number, headers: Record<string, string>): void {
    if (this.isClosed) return;
    this.#response.writeHead(status, headers);
  }

  /**
   * Resolves when the caller can take more, and at once when it went away:
   * `signal` tells of that.
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
    // Destroying drops what still waits in this process, so it comes only
    // after the last part has gone out.
    const out = this.#waitFor(LAST_PART_OUT);
    this.#response.write(bytes, () => this.#response.emit(LAST_PART_OUT));
    await out;
    this.destroy();
  }

  destroy(): void {
    this.#response.destroy();
    this.#noteGone();
  }

  #noteGone(): void {
    if (!this.#controller.signal.aborted) this.#controller.abort();
  }

  /**
   * Waits until the caller has taken what was written. A caller that stops
   * reading but keeps its connection would hold its work, its slot and its
   * buffers for ever; nothing else tells of it, so a timer cuts it.
   */
  #waitFor(event: "drain" | "finish" | typeof LAST_PART_OUT): Promise<void> {
    const response = this.#response;
    if (response.destroyed) return RESOLVED;
    return new Promise((resolve) => {
      const onDone = () => {
        cancelTimer();
        response.off(event, onDone);
        response.off("close", onDone);
        resolve();
      };
      const cancelTimer = this.#options.clock.startTimer(
        this.#options.writeStallMs,
        () => {
          this.#options.onStall?.();
          this.destroy();
          onDone();
        },
      );
      response.on(event, onDone);
      response.on("close", onDone);
    });
  }
}
