/**
 * Bounds what an upstream sends around the body of an answer.
 *
 * Node bounds heads, chunk extensions and trailers. Interim answers, blank lines
 * before a head and the digits of a chunk's size may go on without end, and take
 * all of a process's time until the call times out.
 *
 * @module
 */
import type { Duplex } from "node:stream";

/** Several heads of the largest size. */
const MAX_FRAMING_BYTES = 131_072;
/** A chunk of one byte takes six bytes, more with leading zeros. */
const MAX_BYTES_PER_BODY_BYTE = 16;

/** Options of `FramingGuard`. */
export interface FramingGuardOptions {
  socket: Duplex;
  /** Bytes of the body that were received. */
  getBodyBytes: () => number;
  /** Called once if there is more than an answer needs. */
  onExcess: (cause: Error) => void;
}

/** Counts the bytes of one answer as they are received. */
export class FramingGuard {
  readonly #options: FramingGuardOptions;
  #receivedBytes = 0;
  readonly #onData = (bytes: Uint8Array) => this.#note(bytes.length);

  constructor(options: FramingGuardOptions) {
    this.#options = options;
    options.socket.on("data", this.#onData);
  }

  /** Starts to count. */
  static create(options: FramingGuardOptions): FramingGuard {
    return new FramingGuard(options);
  }

  /** Stops counting, once the answer has ended. */
  stop(): void {
    this.#options.socket.off("data", this.#onData);
  }

  #note(length: number): void {
    const { getBodyBytes, onExcess } = this.#options;
    this.#receivedBytes += length;
    const received = this.#receivedBytes;
    const body = getBodyBytes();
    const allowed = MAX_FRAMING_BYTES + MAX_BYTES_PER_BODY_BYTE * body;
    if (received <= allowed) return;
    this.stop();
    onExcess(new Error(`Answer has ${received} bytes, its body ${body}`));
  }
}
