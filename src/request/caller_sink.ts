/**
 * Where a request's answer goes, whatever carries the bytes.
 *
 * @module
 */

/** The caller's side of one request. */
export abstract class CallerSink {
  /** Aborts when the caller goes away. */
  abstract readonly signal: AbortSignal;
  /** Whether the head has been written. */
  abstract readonly headWritten: boolean;
  abstract writeHead(status: number, headers: Record<string, string>): void;
  /** Resolves when the caller can take more: backpressure. */
  abstract write(bytes: Uint8Array): Promise<void>;
  abstract end(): Promise<void>;
  /** Cuts the answer so that the caller cannot take it for a whole one. */
  abstract destroy(): void;

  /** Writes a last part, which the caller still gets, and then destroys. */
  async destroyAfter(bytes: Uint8Array): Promise<void> {
    await this.write(bytes);
    this.destroy();
  }
}
