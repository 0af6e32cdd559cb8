/**
 * Writes log lines in batches to a stream that may stall.
 *
 * A write for each line costs a system call each; a reader that stops reading
 * would stall the process, or fill its memory with lines. Lines wait a few
 * milliseconds for others, and while the stream takes nothing they are kept
 * up to a bound, then counted and left out.
 *
 * @module
 */
import type { Writable } from "node:stream";

/** Lines wait so long for others, in milliseconds; lost if it is killed. */
const FLUSH_AFTER_MS = 20;
/** Characters kept while the stream takes nothing. */
const MAX_KEPT_CHARACTERS = 262_144;

/** Batches lines. */
export class LineWriter {
  readonly #stream: Writable;
  #kept: string[] = [];
  #characters = 0;
  #leftOut = 0;
  #timer: NodeJS.Timeout | undefined;
  #isBlocked = false;

  constructor(stream: Writable) {
    this.#stream = stream;
    // When the reader goes away, each write raises EPIPE; unhandled, that
    // would end a daemon that serves well otherwise.
    stream.on("error", () => {});
    stream.on("drain", () => {
      this.#isBlocked = false;
      this.flush();
    });
  }

  static create(stream: Writable): LineWriter {
    return new LineWriter(stream);
  }

  /** Takes a line with its end; never blocks. */
  write(line: string): void {
    if (this.#characters + line.length > MAX_KEPT_CHARACTERS) {
      this.#leftOut += 1;
      return;
    }
    this.#kept.push(line);
    this.#characters += line.length;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_AFTER_MS);
  }

  /** Hands over what is kept, unless the stream is still full. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#isBlocked || this.#kept.length === 0) return;
    if (this.#leftOut > 0) {
      this.#kept.push(`event=log_lines_lost count=${this.#leftOut}\n`);
      this.#leftOut = 0;
    }
    const text = this.#kept.join("");
    this.#kept = [];
    this.#characters = 0;
    this.#isBlocked = !this.#stream.write(text);
  }
}
