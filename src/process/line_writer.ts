/**
 * Writes log lines in batches to a stream that may stall.
 *
 * Batches save a system call per line. If the reader of the stream stops, lines
 * are buffered up to a limit, then dropped and counted, so that the process
 * neither blocks nor runs out of memory.
 *
 * @module
 */
import type { Writable } from "node:stream";

/** Maximum delay of a line; lost if the process is killed meanwhile. */
const FLUSH_DELAY_MS = 20;
/** Limit on the buffer while the stream is blocked. */
const MAX_BUFFERED_CHARACTERS = 262_144;

/** Buffers lines and writes them in batches. */
export class LineWriter {
  readonly #stream: Writable;
  #buffered: string[] = [];
  #characters = 0;
  #dropped = 0;
  #timer: NodeJS.Timeout | undefined;
  #isBlocked = false;

  constructor(stream: Writable) {
    this.#stream = stream;
    // After the reader has closed the pipe, each write emits EPIPE. Without a
    // handler, that would end the process.
    stream.on("error", () => {});
    stream.on("drain", () => {
      this.#isBlocked = false;
      this.flush();
    });
  }

  static create(stream: Writable): LineWriter {
    return new LineWriter(stream);
  }

  /** Buffers a line, which includes its line end. Never blocks. */
  write(line: string): void {
    if (this.#characters + line.length > MAX_BUFFERED_CHARACTERS) {
      this.#dropped += 1;
      return;
    }
    this.#buffered.push(line);
    this.#characters += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MS);
  }

  /** Writes the buffered lines, unless the stream is blocked. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isBlocked || this.#buffered.length === 0) return;
    if (this.#dropped > 0) {
      this.#buffered.push(`event=log_lines_lost count=${this.#dropped}\n`);
      this.#dropped = 0;
    }
    const text = this.#buffered.join("");
    this.#buffered = [];
    this.#characters = 0;
    this.#isBlocked = !this.#stream.write(text);
  }
}
