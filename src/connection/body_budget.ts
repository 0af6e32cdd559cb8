/**
 * Bound on the bytes of all bodies that are being read.
 *
 * @module
 */

/** A quarter of the memory that a VM may use. */
const MAX_BODIES_BYTES = 64 * 1024 * 1024;

/** Bytes of bodies in reading, and how many of these were refused. */
export class BodyBudget {
  readonly #maxBytes: number;
  #bytes = 0;
  #refused = 0;

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  static create(maxBytes = MAX_BODIES_BYTES): BodyBudget {
    return new BodyBudget(maxBytes);
  }

  /** Bytes in reading. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bodies for which there was no room. */
  get refused(): number {
    return this.#refused;
  }

  /** Whether there is room for more bytes, which are taken if so. */
  take(bytes: number): boolean {
    if (this.#bytes + bytes > this.#maxBytes) {
      this.#refused += 1;
      return false;
    }
    this.#bytes += bytes;
    return true;
  }

  /** Gives bytes back that were taken. */
  end(bytes: number): void {
    this.#bytes -= bytes;
  }
}
