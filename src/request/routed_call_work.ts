/**
 * Routed calls whose answer is not an event stream.
 *
 * @module
 */
import type {
  CallTimeouts,
  UpstreamAnswer,
} from "../connection/upstream_transport.ts";
import { RoutedWork, type RoutedWorkContext } from "./routed_work.ts";
import { checkNotCancelled, type RelayOptions } from "./upstream_work.ts";

/**
 * Answers up to this size are buffered before the first byte is forwarded. If
 * one breaks off, the call can then still be retried or answered with an error.
 */
const MAX_BUFFERED_BYTES = 262_144;
/**
 * Share of the remaining time within which a replica must start its answer to
 * an idempotent call. If it hangs, the rest is left for an attempt at another.
 */
const FIRST_ATTEMPT_SHARE = 0.5;

/** Forwards one call and its answer. */
export class RoutedCallWork extends RoutedWork {
  static create(context: RoutedWorkContext): RoutedCallWork {
    return new RoutedCallWork(context);
  }

  override computeTimeouts(leftMs: number): CallTimeouts {
    const firstByteMs = this.canSendAgain()
      ? leftMs * FIRST_ATTEMPT_SHARE
      : leftMs;
    return { firstByteMs, betweenBytesMs: leftMs, totalMs: leftMs };
  }

  override async handleAnswer(
    answer: UpstreamAnswer,
    options: RelayOptions,
  ): Promise<void> {
    this.checkHead(answer, options);
    const { sink } = this.context.execution.options;
    const chunks: Uint8Array[] = [];
    let bufferedBytes = 0;
    for await (const bytes of answer.body) {
      checkNotCancelled(options);
      if (!sink.headWritten) {
        chunks.push(bytes);
        bufferedBytes += bytes.length;
        if (bufferedBytes <= MAX_BUFFERED_BYTES) continue;
        this.writeHead(answer);
        for (const chunk of chunks) await sink.write(chunk);
        continue;
      }
      await sink.write(bytes);
    }
    options.onComplete();
    if (!sink.headWritten) {
      this.#writeBuffered(answer, chunks, bufferedBytes);
    }
    await sink.end();
  }

  override canContinue(): boolean {
    return !this.context.execution.options.sink.headWritten;
  }

  #writeBuffered(
    answer: UpstreamAnswer,
    chunks: Uint8Array[],
    bufferedBytes: number,
  ): void {
    const isHead = this.context.request.method === "HEAD";
    this.writeHead(
      answer,
      isHead ? {} : { "content-length": String(bufferedBytes) },
    );
    for (const chunk of chunks) {
      void this.context.execution.options.sink.write(chunk);
    }
  }
}
