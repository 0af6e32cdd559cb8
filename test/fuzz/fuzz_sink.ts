/**
 * A caller that records its answer, may read slowly and may disconnect.
 *
 * @module
 */
import type { Clock } from "../../src/process/clock.ts";
import { CallerSink } from "../../src/request/caller_sink.ts";

/** The state of the caller's connection. */
export type SinkEnd = "open" | "ended" | "destroyed" | "broken" | "left";

/** One caller's side of one request. */
export class FuzzSink extends CallerSink {
  status: number | undefined;
  headers: Record<string, string> = {};
  text = "";
  state: SinkEnd = "open";
  /** When the response head was written. */
  headAt: number | undefined;
  endedAt: number | undefined;
  /** Writes and ends after the answer's end. */
  lateWrites = 0;
  readonly #clock: Clock;
  readonly #writeMs: number;
  readonly #abort = new AbortController();
  readonly #decoder = new TextDecoder();

  constructor(clock: Clock, writeMs: number) {
    super();
    this.#clock = clock;
    this.#writeMs = writeMs;
  }

  /** Creates a caller that takes `writeMs` to read each chunk. */
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
    if (this.headWritten || !this.isOpen) return this.#noteLateWrite();
    this.headAt = this.#clock.now();
    this.status = status;
    this.headers = headers;
  }

  override async write(bytes: Uint8Array): Promise<void> {
    if (!this.isOpen) return this.#noteLateWrite();
    this.text += this.#decoder.decode(bytes, { stream: true });
    if (this.#writeMs > 0) {
      await this.#clock.sleep(this.#writeMs, this.signal);
    }
  }

  override end(): Promise<void> {
    if (this.isOpen) this.#close("ended");
    else this.#noteLateWrite();
    return Promise.resolve();
  }

  override destroy(): void {
    this.#close("destroyed");
  }

  /** Disconnects the caller; the router is notified once its process runs. */
  cancel(): void {
    if (!this.isOpen) return;
    this.#close("left");
    this.#clock.startTimer(0, () => this.#abort.abort());
  }

  /** Closes the connection because the router's process ended. */
  closeBroken(): void {
    this.#close("broken");
  }

  #close(end: SinkEnd): void {
    if (!this.isOpen) return;
    this.state = end;
    this.endedAt = this.#clock.now();
  }

  /** Writes after the caller left, or the process ended, are allowed. */
  #noteLateWrite(): void {
    if (this.state === "ended" || this.state === "destroyed") this.lateWrites++;
  }
}
