/**
 * The writable side of a caller's request, independent of the transport.
 *
 * @module
 */

const NO_BYTES = new Uint8Array(0);

/** Writes the answer of one request. */
export abstract class CallerSink {
  /** Aborts when the caller disconnects. */
  abstract readonly signal: AbortSignal;
  abstract readonly headWritten: boolean;
  abstract writeHead(status: number, headers: Record<string, string>): void;
  /** Resolves when more can be written (backpressure). */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract end(): Promise<void>;
  /** Aborts the answer so that the caller cannot mistake it for complete. */
  abstract destroy(): void;

  /** Aborts once the caller has been sent all that was written. */
  async destroyWritten(): Promise<void> {
    if (this.headWritten) await this.destroyAfter(NO_BYTES);
    else this.destroy();
  }

  /** Writes a last chunk, which still reaches the caller, then aborts. */
  async destroyAfter(bytes: Uint8Array): Promise<void> {
    await this.write(bytes);
    this.destroy();
  }
}
