/**
 * Bound on what all connections of a listener hold beside one request each.
 *
 * @module
 */

/** Unparsed bytes of all connections; their senders keep the rest. */
const MAX_BYTES = 8 * 1024 * 1024;
/** Requests that were parsed while one before them had no answer yet. */
const MAX_REQUESTS = 1_000;

/**
 * Pieces that all connections together parse in a turn of the event loop, beyond
 * what each may: bodies in tiny chunks take long to parse.
 */
const MAX_PIECES_PER_TURN = 512;

/** Unparsed bytes, and requests that are ahead of answers. */
export class PendingBudget {
  #bytes = 0;
  #requests = 0;
  #pieces = 0;

  static create(): PendingBudget {
    return new PendingBudget();
  }

  /** Whether there is room for more bytes, which are taken if so. */
  takeBytes(count: number): boolean {
    if (this.#bytes + count > MAX_BYTES) return false;
    this.#bytes += count;
    return true;
  }

  /** Gives bytes back that were taken. */
  endBytes(count: number): void {
    this.#bytes -= count;
  }

  /** Whether one more piece may be parsed in this turn, which is taken if so. */
  takePiece(): boolean {
    if (this.#pieces >= MAX_PIECES_PER_TURN) return false;
    if (this.#pieces === 0) setImmediate(() => this.#pieces = 0);
    this.#pieces += 1;
    return true;
  }

  /** Whether there is room for one more request, which is taken if so. */
  takeRequest(): boolean {
    if (this.#requests >= MAX_REQUESTS) return false;
    this.#requests += 1;
    return true;
  }

  /** Gives back a request that was taken. */
  endRequest(): void {
    this.#requests -= 1;
  }
}
