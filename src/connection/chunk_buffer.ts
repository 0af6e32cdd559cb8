/**
 * Collects a body whose chunks may be of any size.
 *
 * @module
 */

const BLOCK_BYTES = 16_384;
/** Larger chunks are kept as they are. */
const MAX_COPIED_BYTES = BLOCK_BYTES / 4;

/**
 * Bytes in the order of their arrival. Small chunks are copied into blocks: each
 * chunk kept by itself would cost some 200 bytes, however short it is.
 */
export class ChunkBuffer {
  readonly #parts: Buffer[] = [];
  #block = Buffer.alloc(0);
  /** Bytes in use of the block. */
  #used = 0;
  #length = 0;

  static create(): ChunkBuffer {
    return new ChunkBuffer();
  }

  get length(): number {
    return this.#length;
  }

  add(chunk: Buffer): void {
    this.#length += chunk.length;
    if (chunk.length > MAX_COPIED_BYTES) {
      this.#flushBlock();
      this.#parts.push(chunk);
      return;
    }
    if (this.#used + chunk.length > this.#block.length) {
      this.#flushBlock();
      this.#block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }
    this.#used += chunk.copy(this.#block, this.#used);
  }

  /** All bytes; nothing may be added afterwards. */
  take(): Buffer {
    this.#flushBlock();
    return this.#parts.length === 1
      ? this.#parts[0]!
      : Buffer.concat(this.#parts);
  }

  #flushBlock(): void {
    if (this.#used > 0) this.#parts.push(this.#block.subarray(0, this.#used));
    this.#block = this.#block.subarray(this.#used);
    this.#used = 0;
  }
}
