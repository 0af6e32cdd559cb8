/**
 * Finds where the events of a stream end, without buffering the stream.
 *
 * @module
 */

const LF = 0x0a;
const CR = 0x0d;
const COLON = 0x3a;
/** Bytes that may come before the first line of a stream. */
export const BYTE_ORDER_MARK: readonly number[] = [0xef, 0xbb, 0xbf];

/**
 * Follows one stream of server-sent events. Lines end in LF, CR LF or CR; a
 * blank line ends an event; lines that begin with a colon are comments.
 */
export class SseBoundary {
  #events = 0;
  /** Bytes of a byte-order mark that the stream began with, up to now. */
  #markBytes = 0;
  #isMarkOver = false;
  #isLineStart = true;
  /** Whether the current event has any line that is not a comment. */
  #hasFields = false;
  /** Whether the last byte was a CR, which an LF may complete. */
  #isAfterCr = false;
  /** Whether the line before the current one ended in a CR alone. */
  #usesCr = false;
  /** Whether a blank line ends in the last byte unless an LF follows. */
  #isBlankLineOpen = false;

  static create(): SseBoundary {
    return new SseBoundary();
  }

  /** Complete events so far; blocks of comments do not count. */
  get events(): number {
    return this.#events;
  }

  /**
   * Whether the stream may end after the bytes read so far: all lines are
   * complete, and no event has begun. A CR that may be half of a CR LF
   * completes a line only in a stream whose lines end in CR alone.
   */
  get isBetweenEvents(): boolean {
    const isInMark = !this.#isMarkOver && this.#markBytes > 0;
    const isInLineEnd = this.#isAfterCr && !this.#usesCr;
    return this.#isLineStart && !this.#hasFields && !isInMark && !isInLineEnd;
  }

  /**
   * Reads `bytes` from `start` to the end of the next event or block of
   * comments, and returns the index after it; undefined if `bytes` ends before.
   * Each byte of the stream must be read once, in order.
   */
  findNext(bytes: Uint8Array, start: number): number | undefined {
    let at = start;
    while (at < bytes.length) {
      // Within a line only its end matters.
      if (!this.#isLineStart) at = findLineEnd(bytes, at);
      if (at === bytes.length) return undefined;
      const end = this.#readByte(bytes[at]!, at);
      if (end !== undefined) return end;
      at += 1;
    }
    return undefined;
  }

  /** Reads `bytes` and returns how many events they complete. */
  push(bytes: Uint8Array): number {
    const before = this.#events;
    let at: number | undefined = 0;
    while (at !== undefined) at = this.findNext(bytes, at);
    return this.#events - before;
  }

  /** The index after the event that ends at or before this byte, if any. */
  #readByte(byte: number, at: number): number | undefined {
    if (!this.#isMarkOver && this.#readMark(byte)) return undefined;
    if (this.#isAfterCr) {
      this.#isAfterCr = false;
      const isCrLf = byte === LF;
      this.#usesCr = !isCrLf;
      if (this.#isBlankLineOpen) {
        this.#isBlankLineOpen = false;
        this.#endEvent();
        return isCrLf ? at + 1 : at;
      }
      if (isCrLf) return undefined;
    }
    if (byte === CR || byte === LF) return this.#endLine(byte, at);
    this.#readContent(byte);
    return undefined;
  }

  #endLine(byte: number, at: number): number | undefined {
    const isBlank = this.#isLineStart;
    this.#isLineStart = true;
    if (byte === LF) {
      this.#usesCr = false;
    } else {
      this.#isAfterCr = true;
      this.#isBlankLineOpen = isBlank && !this.#usesCr;
    }
    if (!isBlank || this.#isBlankLineOpen) return undefined;
    this.#endEvent();
    return at + 1;
  }

  #endEvent(): void {
    if (this.#hasFields) this.#events += 1;
    this.#hasFields = false;
  }

  #readContent(byte: number): void {
    if (!this.#isLineStart) return;
    this.#isLineStart = false;
    if (byte !== COLON) this.#hasFields = true;
  }

  /** Whether the byte belongs to a byte-order mark at the stream's start. */
  #readMark(byte: number): boolean {
    if (byte === BYTE_ORDER_MARK[this.#markBytes]) {
      this.#markBytes += 1;
      this.#isMarkOver = this.#markBytes === BYTE_ORDER_MARK.length;
      return true;
    }
    this.#isMarkOver = true;
    // Without its other bytes, the begun mark is the name of a field.
    if (this.#markBytes > 0) this.#readContent(byte);
    return false;
  }
}

/** The index of the next LF or CR, or the length of `bytes`. */
function findLineEnd(bytes: Uint8Array, start: number): number {
  let at = start;
  while (at < bytes.length && bytes[at] !== LF && bytes[at] !== CR) at += 1;
  return at;
}
