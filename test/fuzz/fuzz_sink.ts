/**
 * A caller that keeps all that it is told, reads as slowly as it likes, and
 * may go away.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";
import { CallerSink } from "../../src/request/caller_sink.ts";

/** How the caller's connection came to its end. */
export type SinkEnd = "open" | "ended" | "destroyed" | "broken" | "left";

/** One caller's side of one request. */
export class FuzzSink extends CallerSink {
  status: number | undefined;
  headers: Record<string, string> = {};
  text = "";
  state: SinkEnd = "open";
  /** When the answer's head, or the whole refusal, was given out. */
  headAt: number | undefined;
  endedAt: number | undefined;
  /** Writes and ends that came after the answer's end. */
  strays = 0;
  readonly #clock: Clock;
  readonly #writeMs: number;
  readonly #abort = new AbortController();
  readonly #decoder = new TextDecoder();

  constructor(clock: Clock, writeMs: number) {
    super();
    this.#clock = clock;
    this.#writeMs = writeMs;
  }

  /** `writeMs` is what the caller takes to read each piece. */
  static create(clock: Clock, writeMs = 0): FuzzSink {
    return new FuzzSink(clock, writeMs);
  }

  override get signal(): AbortSignal {
    return this.#abort.signal;
  }

  override get headWritten(): boolean {
    return this.status !== undefined;
  }

  get isOpen(): boolean {
    return this.state === "open";
  }

  override writeHead(status: number, headers: Record<string, string>): void {
    if (this.headWritten || !this.isOpen) return this.#noteStray();
    this.headAt = this.#clock.now();
    this.status = status;
    this.headers = headers;
  }

  override async write(bytes: Uint8Array): Promise<void> {
    if (!this.isOpen) return this.#noteStray();
    this.text += this.#decoder.decode(bytes, { stream: true });
    if (this.#writeMs > 0) {
      await this.#clock.sleep(this.#writeMs, this.signal);
    }
  }

  override end(): Promise<void> {
    if (this.isOpen) this.#close("ended");
    else this.#noteStray();
    return Promise.resolve();
  }

  override destroy(): void {
    this.#close("destroyed");
  }

  /** The caller goes away; the router hears of it once it runs. */
  cancel(): void {
    if (!this.isOpen) return;
    this.#close("left");
    this.#clock.startTimer(0, () => this.#abort.abort());
  }

  /** The router's process ended. */
  closeBroken(): void {
    this.#close("broken");
  }

  #close(end: SinkEnd): void {
    if (!this.isOpen) return;
    this.state = end;
    this.endedAt = this.#clock.now();
  }

  /** After the caller left, or the process ended, anything may come. */
  #noteStray(): void {
    if (this.state === "ended" || this.state === "destroyed") this.strays++;
  }
}
