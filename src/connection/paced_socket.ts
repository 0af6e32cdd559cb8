/**
 * TCP connections to upstreams that read no faster than they are listened to.
 *
 * @module
 */
import net, { type Socket } from "node:net";
import type { PacedReader, ReadPacer } from "./read_pacer.ts";

/** Larger reads are handed on in pieces of this size. */
const PIECE_BYTES = 16_384;

/** Holds one read at most, until its parser may have it. */
export class PacedSocket extends net.Socket implements PacedReader {
  readonly #pacer: ReadPacer;
  /** Read, and not handed on. */
  #held: Buffer | undefined;
  #isWanted = true;

  constructor(pacer: ReadPacer, options: net.TcpNetConnectOpts) {
    super(options);
    this.#pacer = pacer;
  }

  /** Opens a connection, which may still be connecting on return. */
  static open(pacer: ReadPacer, options: net.TcpNetConnectOpts): Socket {
    return new PacedSocket(pacer, options).connect(options);
  }

  /** Sets whether whoever reads the answer can take more. */
  setWanted(isWanted: boolean): void {
    this.#isWanted = isWanted;
    if (isWanted && this.#held !== undefined) this.#pacer.add(this);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (!Buffer.isBuffer(chunk) || this.#canPass(chunk)) {
      return super.push(chunk, encoding);
    }
    this.#held = chunk;
    if (this.#isWanted) this.#pacer.add(this);
    return false;
  }

  override _read(size: number): void {
    if (this.#held === undefined) super._read(size);
    else if (this.#isWanted) this.#pacer.add(this);
  }

  pushPiece(): void {
    const held = this.#held;
    if (held === undefined || !this.#isWanted || this.destroyed) return;
    const rest = held.subarray(PIECE_BYTES);
    this.#held = rest.length === 0 ? undefined : rest;
    super.push(held.subarray(0, PIECE_BYTES));
  }

  #canPass(chunk: Buffer): boolean {
    return this.#isWanted && this.#held === undefined &&
      chunk.length <= PIECE_BYTES;
  }
}
