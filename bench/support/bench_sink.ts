/**
 * A caller that records its answer with the time of each piece.
 *
 * @module
 */
import { CallerSink } from "../../src/request/caller_sink.ts";
import type { Clock } from "../../src/process/clock.ts";

/** The answer that a caller received. */
export interface CallerView {
  status: number | undefined;
  headers: Record<string, string>;
  text: string;
  /** Time of each write and the text length after it. */
  pieces: { at: number; end: number }[];
  end: "ended" | "destroyed" | "open";
  endedAt: number | undefined;
}

/** Records one answer in memory. */
export class BenchSink extends CallerSink {
  readonly view: CallerView = {
    status: undefined,
    headers: {},
    text: "",
    pieces: [],
    end: "open",
    endedAt: undefined,
  };
  readonly #clock: Clock;
  readonly #abort = new AbortController();
  readonly #decoder = new TextDecoder();
  #onEnd: () => void = () => {};
  /** Resolves when the answer has ended or was destroyed. */
  readonly closed = new Promise<void>((resolve) => {
    this.#onEnd = resolve;
  });

  constructor(clock: Clock) {
    super();
    this.#clock = clock;
  }

  static create(clock: Clock): BenchSink {
    return new BenchSink(clock);
  }

  override get signal(): AbortSignal {
    return this.#abort.signal;
  }

  override get headWritten(): boolean {
    return this.view.status !== undefined;
  }

  /** Disconnects the caller. */
  cancel(): void {
    this.#abort.abort();
    this.#close("destroyed");
  }

  override writeHead(status: number, headers: Record<string, string>): void {
    this.view.status = status;
    this.view.headers = headers;
  }

  override write(bytes: Uint8Array): Promise<void> {
    if (this.view.end !== "open") return Promise.resolve();
    this.view.text += this.#decoder.decode(bytes, { stream: true });
    const end = this.view.text.length;
    this.view.pieces.push({ at: this.#clock.now(), end });
    return Promise.resolve();
  }

  override end(): Promise<void> {
    this.#close("ended");
    return Promise.resolve();
  }

  override destroy(): void {
    this.#close("destroyed");
  }

  #close(end: "ended" | "destroyed"): void {
    if (this.view.end !== "open") return;
    this.view.end = end;
    this.view.endedAt = this.#clock.now();
    this.#onEnd();
  }
}
